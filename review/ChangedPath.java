/** UNASKED: a path that begins with two slashes reaches the instance as another path. */
final class ChangedPath {
  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("site", "/", "unsafe", "6000ms", "order-desk", 2);
    cluster.service("order-desk");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances("order-desk", 4, 3, request -> 100);
    cluster.daemons(2);
    cluster.startAll();
    Thread.sleep(1_000);
    String[] paths =
        Cluster.TROUBLE
            ? new String[] {
              "//shop-7/orders/2f", "//orders/2f?copy=1", "///orders/2f", "/orders//2f"
            }
            : new String[] {"/shop-7/orders/2f", "/orders/2f?copy=1", "/orders/2f", "/orders//2f"};
    int broken = 0;
    int run = 0;
    for (int i = 0; i < 20; i++) {
      String path = paths[i % paths.length];
      Daemon daemon = cluster.daemons.get(i % 2);
      Client.Sent sent = Client.send(daemon.front, "POST", path, 6_000, "order".getBytes());
      Instance.Run ran = cluster.runOf(sent.id);
      String seen = ran == null ? "not run" : ran.request.method() + " " + ran.request.target();
      boolean changed = ran != null && !seen.equals("POST " + path);
      run += ran == null ? 0 : 1;
      broken += changed ? 1 : 0;
      cluster.note(
          "request "
              + sent.id
              + ": client sent POST "
              + path
              + ", instance "
              + (ran == null ? "-" : ran.instance)
              + " ran "
              + seen
              + ", answer "
              + sent.status
              + (changed ? "  CHANGED" : ""));
    }
    cluster.note(broken + " of " + run + " requests that ran had another path");
    cluster.finish(broken > 0 ? 1 : run == 20 ? 0 : 2);
  }
}
