package verbenahatch.measure.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import verbenahatch.gateway.GatewayContext;
import verbenahatch.gateway.GatewayServer;
import verbenahatch.gateway.HeaderNames;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.measure.Figure;
import verbenahatch.measure.Measurement;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Access;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Route;
import verbenahatch.model.EnvironmentDocument.Service;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.model.EnvironmentDocument.Workspace;
import verbenahatch.model.Settings;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.testing.FakePeerNetwork;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.target.Behaviour;
import verbenahatch.standins.target.TargetOptions;
import verbenahatch.standins.target.TargetServer;

/**
 * Measures the latency that an entry host adds to a direct request, and how many requests per
 * second one core handles.
 *
 * <p>Host, target and callers share one process and its cores; checks of limits and keys cost
 * nothing here. Requests are sent at fixed times, alternately direct and through the host, and
 * latency is measured from the planned time.
 */
public final class EntryPathMeasurement implements Measurement {

  private static final int REQUESTS_PER_SECOND = 500;
  private static final int WARM_UP_SECONDS = 5;
  private static final int SECONDS = 10;
  private static final int CONCURRENCY = 64;
  private static final int SLOTS = 256;

  @Override
  public String name() {
    return "entry-path";
  }

  @Override
  public List<Figure> run(long seed) throws Exception {
    try (Closer closer = new Closer()) {
      TargetServer target =
          closer.register(
              new TargetServer(
                  new TargetOptions("t", "127.0.0.1", 0, 0, "v1", SLOTS, 1_000, 0),
                  Behaviour.healthy(0)));
      final GatewayServer host = closer.register(host(target.port()));
      HttpClient client = new HttpClient();
      client.setMaxConnectionsPerDestination(SLOTS);
      // Requests queued in this process count with their latency and are not rejected.
      client.setMaxRequestsQueuedPerDestination(REQUESTS_PER_SECOND * SECONDS);
      client.start();
      closer.register(client::stop);
      String directUrl = "http://127.0.0.1:" + target.port() + "/listings";
      String entryUrl = "http://127.0.0.1:" + host.port() + "/listings";
      requestsPerCore(client, entryUrl);
      openLoop(client, directUrl, entryUrl, WARM_UP_SECONDS);
      List<Histogram> latency = openLoop(client, directUrl, entryUrl, SECONDS);
      List<Figure> figures = new ArrayList<>();
      for (int percentile : new int[] {50, 99}) {
        double directMillis = latency.get(0).getValueAtPercentile(percentile) / 1e6;
        double entryMillis = latency.get(1).getValueAtPercentile(percentile) / 1e6;
        figures.add(Figure.info("direct-p" + percentile, directMillis, "ms"));
        figures.add(Figure.info("entry-p" + percentile, entryMillis, "ms"));
        figures.add(Figure.info("added-p" + percentile, entryMillis - directMillis, "ms"));
      }
      figures.add(Figure.info("requests-per-core", requestsPerCore(client, entryUrl), "1/s"));
      return figures;
    }
  }

  private static GatewayServer host(int targetPort) throws Exception {
    Target target = new Target("t", "r", "z", "127.0.0.1", targetPort, "v1", SLOTS, 1_000);
    EnvironmentDocument document =
        new EnvironmentDocument(
            "trial",
            1,
            List.of(new Region("r", List.of("z"), SLOTS)),
            List.of(),
            List.of(new Service("listings", "v1", List.of(target))),
            List.of(
                new Route(
                    "listings",
                    "listings",
                    List.of("GET"),
                    "/listings",
                    Access.KEYED,
                    true,
                    5_000)),
            List.of(new Workspace("all", 1e6, 1e6, 1)),
            List.of(),
            List.of());
    Settings.Endpoint anyPort = new Settings.Endpoint("127.0.0.1", 0);
    Settings settings =
        new Settings(
            "e",
            "r",
            "z",
            "trial",
            anyPort,
            anyPort,
            anyPort,
            new Settings.Platform(List.of(), 1_000),
            "0123456789abcdef",
            Map.of(),
            1,
            1);
    PermissiveModules modules = new PermissiveModules(document);
    GatewayContext context =
        new GatewayContext(
            settings,
            new FixedFleet("e"),
            modules,
            modules,
            modules,
            modules,
            new FakePeerNetwork(new ManualClock(), 1).open(new PeerAddress("127.0.0.1", 1), "e-1"),
            new InMemoryObjectStore(),
            Clock.system(),
            Events.none());
    return new GatewayServer(context, new PrometheusRegistry());
  }

  /** Returns the latency of direct requests and of requests through the host, in nanoseconds. */
  private static List<Histogram> openLoop(
      HttpClient client, String directUrl, String entryUrl, int seconds)
      throws InterruptedException {
    List<Histogram> latency =
        List.of(
            new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(30), 3),
            new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(30), 3));
    int requestCount = seconds * REQUESTS_PER_SECOND;
    Queue<String> failures = new ConcurrentLinkedQueue<>();
    CountDownLatch incomplete = new CountDownLatch(requestCount);
    long startNanos = System.nanoTime();
    for (int i = 0; i < requestCount; i++) {
      long plannedNanos = startNanos + i * (1_000_000_000L / REQUESTS_PER_SECOND);
      while (System.nanoTime() < plannedNanos) {
        LockSupport.parkNanos(plannedNanos - System.nanoTime());
      }
      Histogram histogram = latency.get(i % 2);
      request(client, i % 2 == 0 ? directUrl : entryUrl)
          .send(
              result -> {
                if (result.isSucceeded() && result.getResponse().getStatus() == 200) {
                  histogram.recordValue(System.nanoTime() - plannedNanos);
                } else {
                  failures.add(describe(result));
                }
                incomplete.countDown();
              });
    }
    if (!incomplete.await(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException(incomplete.getCount() + " requests did not complete");
    }
    if (!failures.isEmpty()) {
      throw new IllegalStateException(
          failures.size() + " requests failed, first " + failures.peek());
    }
    return latency;
  }

  private static String describe(Result result) {
    String reason = result.getResponse().getHeaders().get(HeaderNames.REASON);
    return result.getResponse().getStatus() + " " + reason + " " + result.getFailure();
  }

  private static org.eclipse.jetty.client.Request request(HttpClient client, String url) {
    return client
        .newRequest(url)
        .headers(headers -> headers.put("Authorization", "Bearer vh_measurement"));
  }

  /** Returns the successful requests per second of processor time of the host's threads. */
  private static double requestsPerCore(HttpClient client, String entryUrl)
      throws InterruptedException {
    Semaphore permits = new Semaphore(CONCURRENCY);
    AtomicLong succeeded = new AtomicLong();
    double cpuBefore = hostCpuSeconds();
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS);
    while (System.nanoTime() < endNanos) {
      permits.acquire();
      request(client, entryUrl)
          .send(
              result -> {
                if (result.isSucceeded() && result.getResponse().getStatus() == 200) {
                  succeeded.incrementAndGet();
                }
                permits.release();
              });
    }
    permits.acquire(CONCURRENCY);
    return succeeded.get() / (hostCpuSeconds() - cpuBefore);
  }

  private static double hostCpuSeconds() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long nanos = 0;
    for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (info != null && info.getThreadName().startsWith("gateway")) {
        nanos += Math.max(0, threads.getThreadCpuTime(info.getThreadId()));
      }
    }
    return nanos / 1e9;
  }
}
