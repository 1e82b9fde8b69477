import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * LOST: after a SIGTERM a process breaks off an upload after 4.5 s without bytes from its instance,
 * which is at work, and answers 502 itself.
 */
final class StopCutsSilentInstance {
  private static final long GRACE_MILLIS = 6_000;
  private static final int WORK_MILLIS = 5_000;
  private static final long TIMEOUT_MILLIS = 10_000;

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("uploads", "/uploads/", "upload", TIMEOUT_MILLIS + "ms", "intake", 2);
    cluster.service("intake");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances("intake", 8, 3, request -> WORK_MILLIS);
    cluster.daemons(3);
    cluster.startAll();
    Thread.sleep(1_000);
    Daemon daemon = cluster.daemons.get(0);
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<Client.Sent>> uploads = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      uploads.add(
          threads.submit(
              () ->
                  Client.send(
                      daemon.front, "POST", "/uploads/1", TIMEOUT_MILLIS, new byte[60_000])));
      Thread.sleep(100);
    }
    long termNanos = System.nanoTime();
    if (Cluster.TROUBLE) {
      daemon.signal("TERM");
      cluster.note("SIGTERM to " + daemon.name);
    }
    int broken = 0;
    int answered = 0;
    for (Future<Client.Sent> future : uploads) {
      Client.Sent sent = future.get();
      Instance.Run run = cluster.runOf(sent.id);
      double endSeconds = (sent.endNanos - termNanos) / 1e9;
      double lasted = (sent.endNanos - sent.sentNanos) / 1e6;
      double worked = run == null ? 0 : (sent.endNanos - run.startNanos) / 1e6;
      boolean brokenOff =
          run != null
              && worked < WORK_MILLIS
              && lasted < TIMEOUT_MILLIS
              && (!sent.end.equals("answered") || sent.status >= 500);
      // Cuts in the last sixth of the grace time are excused for requests sent up to 3 s after it.
      boolean counts =
          Cluster.TROUBLE && brokenOff && endSeconds > 0 && endSeconds < GRACE_MILLIS * 5 / 6 / 1e3;
      broken += counts ? 1 : 0;
      answered += sent.end.equals("answered") ? 1 : 0;
      cluster.note(
          String.format(
              "upload %s sent %.3f s before the stop: %s %d after %.0f ms, its instance had worked"
                  + " %.0f of %d ms%s",
              sent.id,
              (termNanos - sent.sentNanos) / 1e9,
              sent.end,
              sent.status,
              lasted,
              worked,
              WORK_MILLIS,
              counts ? "  LOST" : ""));
    }
    if (Cluster.TROUBLE) {
      boolean ended = daemon.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS);
      cluster.note(daemon.name + (ended ? " ended by itself" : " still runs after its grace time"));
    }
    cluster.note(broken + " uploads were broken off at work after SIGTERM");
    cluster.finish(broken > 0 ? 1 : answered == 10 ? 0 : 2);
  }
}
