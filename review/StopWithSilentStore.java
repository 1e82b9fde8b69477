import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/** LOST: three of eight processes are stopped by SIGTERM while the store doesn't answer. */
final class StopWithSilentStore {
  private static final long GRACE_MILLIS = 6_000;
  private static final long TIMEOUT_MILLIS = 2_500;
  private static final int CLIENTS = 300;
  private static final int PAUSE_MILLIS = 900;
  private static final int WORK_MILLIS = 1_160;
  private static final double WORK_SPREAD = 0.15;
  private static final long SILENCE_MILLIS = 4_500;

  private static volatile boolean done;

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("orders", "/orders/", "unsafe", TIMEOUT_MILLIS + "ms", "order-desk", 2);
    cluster.service("order-desk");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances(
        "order-desk",
        90,
        4,
        request ->
            (int)
                (WORK_MILLIS * Math.exp(WORK_SPREAD * ThreadLocalRandom.current().nextGaussian())));
    cluster.daemons(8);
    cluster.startAll();
    ConcurrentLinkedQueue<Client.Sent> all = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      // A third keeps a directory answer three times as long as its ttl says.
      long keepMillis = i % 3 == 0 ? 6_000 : 2_000;
      Thread thread = new Thread(() -> client(cluster, keepMillis, all));
      thread.setDaemon(true);
      thread.start();
      clients.add(thread);
    }
    Thread.sleep(8_000);
    if (Cluster.TROUBLE) {
      cluster.store.setSilent(true);
      cluster.note("the store is silent");
    }
    long silentNanos = System.nanoTime();
    Thread.sleep(300);
    Map<String, Long> stopped = new ConcurrentHashMap<>();
    List<Thread> stops = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Daemon daemon = cluster.daemons.get(i);
      daemon.signal("TERM");
      stopped.put(daemon.front, System.nanoTime());
      cluster.note("SIGTERM to " + daemon.name);
      Thread stop = new Thread(() -> awaitEnd(cluster, daemon));
      stop.start();
      stops.add(stop);
    }
    long left = SILENCE_MILLIS - (System.nanoTime() - silentNanos) / 1_000_000;
    Thread.sleep(Math.max(0, left));
    if (Cluster.TROUBLE) {
      cluster.store.setSilent(false);
      cluster.note("the store answers again");
    }
    for (Thread stop : stops) {
      stop.join();
    }
    Thread.sleep(500);
    done = true;
    for (Thread client : clients) {
      client.join(10_000);
    }
    int broken = 0;
    Map<String, Integer> ends = new TreeMap<>();
    for (Client.Sent sent : all) {
      ends.merge(
          sent.end.equals("answered") ? Integer.toString(sent.status) : sent.end, 1, Integer::sum);
      cluster.detail(sent);
      Long termNanos = stopped.get(sent.front);
      Instance.Run run = cluster.runOf(sent.id);
      if (termNanos == null || run == null || sent.end.equals("answered")) {
        continue;
      }
      double sentSeconds = (sent.sentNanos - termNanos) / 1e9;
      double endSeconds = (sent.endNanos - termNanos) / 1e9;
      double lasted = (sent.endNanos - sent.sentNanos) / 1e6;
      boolean planned =
          sentSeconds >= -TIMEOUT_MILLIS / 1e3 && endSeconds <= GRACE_MILLIS / 1e3 + 1;
      boolean timedOut = lasted >= TIMEOUT_MILLIS;
      boolean excused = sentSeconds <= 3 && endSeconds >= GRACE_MILLIS * 5 / 6 / 1e3;
      boolean counts = endSeconds > 0 && planned && !timedOut && !excused;
      broken += counts ? 1 : 0;
      cluster.note(
          String.format(
              "order %s sent %.3f s after SIGTERM, running at %s: %s at %.3f s after SIGTERM%s",
              sent.id, sentSeconds, run.instance, sent.end, endSeconds, counts ? "  LOST" : ""));
    }
    cluster.note("orders " + ends);
    cluster.note(broken + " orders at work at an instance were lost around a planned stop");
    cluster.finish(broken > 0 ? 1 : 0);
  }

  private static void awaitEnd(Cluster cluster, Daemon daemon) {
    try {
      if (daemon.process.waitFor(GRACE_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS)) {
        cluster.note(daemon.name + " ended by itself");
      } else {
        daemon.signal("KILL");
        cluster.note("SIGKILL to " + daemon.name + " at the end of its grace time");
      }
    } catch (IOException | InterruptedException e) {
      cluster.note("waiting for " + daemon.name + " failed: " + e);
    }
  }

  private static void client(
      Cluster cluster, long keepMillis, ConcurrentLinkedQueue<Client.Sent> all) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    List<String> addresses = new ArrayList<>();
    long fetchedNanos = 0;
    try {
      Thread.sleep(random.nextInt(PAUSE_MILLIS));
      while (!done) {
        if (addresses.isEmpty() || System.nanoTime() - fetchedNanos > keepMillis * 1_000_000) {
          for (int tries = 0; tries < 3; tries++) {
            Daemon directory = cluster.daemons.get(random.nextInt(cluster.daemons.size()));
            try {
              List<String> answer = Client.resolve(directory.directory, "dakar", "dakar-plateau");
              if (!answer.isEmpty()) {
                addresses = new ArrayList<>(answer);
                fetchedNanos = System.nanoTime();
                break;
              }
            } catch (IOException e) {
              // The next directory is asked.
            }
          }
        }
        if (!addresses.isEmpty()) {
          String front = addresses.get(random.nextInt(addresses.size()));
          Client.Sent sent = Client.send(front, "POST", "/orders/1", 6_000, "order".getBytes());
          all.add(sent);
          if (!sent.written) {
            addresses.remove(front);
          }
        }
        Thread.sleep(random.nextInt(PAUSE_MILLIS * 2));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
