import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** LOST: a process that is stopped takes requests for 3.5 s and cuts the last ones at work. */
final class StopCutsLateRequests {
  private static final long GRACE_MILLIS = 6_000;
  private static final int WORK_MILLIS = 3_000;
  private static final long TIMEOUT_MILLIS = 10_000;

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("uploads", "/uploads/", "upload", TIMEOUT_MILLIS + "ms", "intake", 2);
    cluster.service("intake");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances("intake", 8, 6, request -> WORK_MILLIS);
    cluster.daemons(3);
    cluster.startAll();
    Thread.sleep(1_000);
    Daemon daemon = cluster.daemons.get(0);
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<Client.Sent>> uploads = new ArrayList<>();
    long termNanos = System.nanoTime();
    if (Cluster.TROUBLE) {
      daemon.signal("TERM");
      cluster.note("SIGTERM to " + daemon.name);
    }
    // Clients that keep the answer of the directory three times as long as its ttl of 2 s.
    for (int i = 0; i < 45; i++) {
      uploads.add(
          threads.submit(
              () ->
                  Client.send(
                      daemon.front, "POST", "/uploads/1", TIMEOUT_MILLIS, new byte[60_000])));
      Thread.sleep(100);
    }
    int broken = 0;
    int served = 0;
    for (Future<Client.Sent> future : uploads) {
      Client.Sent sent = future.get();
      Instance.Run run = cluster.runOf(sent.id);
      double sentSeconds = (sent.sentNanos - termNanos) / 1e9;
      double endSeconds = (sent.endNanos - termNanos) / 1e9;
      boolean cut = run != null && !sent.end.equals("answered");
      boolean counts = Cluster.TROUBLE && cut && sentSeconds > 3 && endSeconds < 7;
      broken += counts ? 1 : 0;
      served += sent.status == 200 ? 1 : 0;
      if (cut || sentSeconds > 3) {
        cluster.note(
            String.format(
                "upload %s sent %.3f s after SIGTERM: %s %d at %.3f s%s",
                sent.id, sentSeconds, sent.end, sent.status, endSeconds, counts ? "  LOST" : ""));
      }
    }
    if (Cluster.TROUBLE) {
      boolean ended = daemon.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS);
      cluster.note(daemon.name + (ended ? " ended by itself" : " still runs after its grace time"));
    }
    cluster.note(broken + " uploads at work were cut, " + served + " were served");
    cluster.finish(broken > 0 ? 1 : served > 0 ? 0 : 2);
  }
}
