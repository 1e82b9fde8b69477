import java.util.List;

/** Fault: a process that gets SIGHUP during its start ends by itself. */
final class HupDuringStart {
  private static final long HUP_AFTER_START_MILLIS = 400;
  private static final int ROUNDS = 3;

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("orders", "/orders/", "unsafe", "6000ms", "order-desk", 2);
    cluster.service("order-desk");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances("order-desk", 4, 3, request -> 500);
    cluster.daemons(4);
    cluster.startAll();
    List<Daemon> restarted = cluster.daemons.subList(0, 2);
    for (Daemon daemon : restarted) {
      daemon.signal("KILL");
      daemon.process.waitFor();
      cluster.note("SIGKILL to " + daemon.name);
    }
    int[] ends = new int[restarted.size()];
    for (int round = 1; round <= ROUNDS; round++) {
      Thread.sleep(2_000);
      for (Daemon daemon : restarted) {
        if (!daemon.process.isAlive()) {
          daemon.start();
          cluster.note("the platform starts " + daemon.name);
        }
      }
      Thread.sleep(HUP_AFTER_START_MILLIS);
      for (Daemon daemon : restarted) {
        if (Cluster.TROUBLE) {
          daemon.signal("HUP");
          cluster.note("SIGHUP to " + daemon.name);
        }
      }
      Thread.sleep(8_000);
      for (int i = 0; i < restarted.size(); i++) {
        Daemon daemon = restarted.get(i);
        if (daemon.process.isAlive()) {
          cluster.note(daemon.name + " runs, ready " + daemon.isReady());
        } else {
          ends[i]++;
          cluster.note(daemon.name + " ended by itself, exit code " + daemon.process.exitValue());
        }
      }
    }
    int broken = 0;
    for (int count : ends) {
      broken += count >= ROUNDS ? 1 : 0;
    }
    cluster.note(broken + " of 4 processes ended by themselves at " + ROUNDS + " starts");
    cluster.finish(broken >= 2 ? 1 : 0);
  }
}
