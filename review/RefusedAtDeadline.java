import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/**
 * REFUSED: unsafe requests whose time ends while they are passed on are answered 503 and run. With
 * TROUBLE=0 they have 3 s left.
 */
final class RefusedAtDeadline {
  private static final int CLIENTS = 8;
  private static final int REQUESTS = 1_000;
  private static final int MAX_LEFT_MILLIS = 6;

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("orders", "/orders/", "unsafe", "6000ms", "order-desk", 2);
    cluster.service("order-desk");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances("order-desk", 12, 12, request -> 20);
    cluster.daemons(2);
    cluster.startAll();
    ConcurrentLinkedQueue<Client.Sent> all = new ConcurrentLinkedQueue<>();
    Thread[] clients = new Thread[CLIENTS];
    for (int i = 0; i < clients.length; i++) {
      clients[i] = new Thread(() -> client(cluster, all));
      clients[i].start();
    }
    for (Thread client : clients) {
      client.join();
    }
    Thread.sleep(200);
    Set<String> ran = new HashSet<>();
    for (Instance.Run run : cluster.runs) {
      ran.add(run.id());
    }
    Map<String, Integer> ends = new TreeMap<>();
    int broken = 0;
    for (Client.Sent sent : all) {
      boolean hasRun = ran.contains(sent.id);
      String end = sent.end.equals("answered") ? Integer.toString(sent.status) : sent.end;
      ends.merge(end + (hasRun ? ", ran" : ", not run"), 1, Integer::sum);
      if (hasRun && (end.equals("503") || end.equals("429") || end.equals("408"))) {
        broken++;
        if (broken <= 20) {
          cluster.note(
              "request "
                  + sent.id
                  + " (unsafe): answered "
                  + end
                  + ", and ran at "
                  + cluster.runOf(sent.id).instance);
        }
      }
    }
    cluster.note(ends.toString());
    cluster.note(broken + " unsafe requests were answered with a promise and ran");
    cluster.finish(broken > 0 ? 1 : 0);
  }

  private static void client(Cluster cluster, ConcurrentLinkedQueue<Client.Sent> all) {
    String front = cluster.daemons.get(0).front;
    for (int i = 0; i < REQUESTS; i++) {
      int left =
          Cluster.TROUBLE ? ThreadLocalRandom.current().nextInt(1, MAX_LEFT_MILLIS + 1) : 3_000;
      all.add(Client.sendAndWait(front, "POST", "/orders/1", left, 3_000, "order".getBytes()));
    }
  }
}
