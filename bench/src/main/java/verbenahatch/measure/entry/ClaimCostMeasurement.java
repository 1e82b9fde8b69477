package verbenahatch.measure.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import verbenahatch.fleet.Member;
import verbenahatch.gateway.submission.ClaimResult;
import verbenahatch.gateway.submission.KeyClaims;
import verbenahatch.gateway.submission.Tickets;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Result;
import verbenahatch.measure.Figure;
import verbenahatch.measure.Measurement;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.PeerHandler;
import verbenahatch.peer.PeerLink;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/**
 * Compares the cost of a claim by ticket with that of a claim in the store.
 *
 * <p>Each store call takes 3 ms. Peers are called within the process, so the ticket figures exclude
 * the link and cover the work of the hosts alone.
 */
public final class ClaimCostMeasurement implements Measurement {

  private static final int CLAIMS_PER_SECOND = 400;
  private static final int SECONDS = 5;
  private static final long STORE_CALL_NANOS = 3_000_000;

  @Override
  public String name() {
    return "claim-cost";
  }

  @Override
  public List<Figure> run(long seed) throws Exception {
    List<Figure> figures = new ArrayList<>();
    Member issuer = FixedFleet.member("a", 1);
    Member claimant = FixedFleet.member("b", 2);
    List<Member> members = List.of(issuer, claimant);
    InProcessLink link = new InProcessLink();
    Tickets issuerTickets = tickets(new FixedFleet(issuer, members), link);
    Tickets claimantTickets = tickets(new FixedFleet(claimant, members), new InProcessLink(link));
    figures.addAll(
        figures(
            "ticket-own",
            openLoop(i -> issuerTickets.claim(issuerTickets.issue("w"), "w", deadlineNanos()))));
    figures.addAll(
        figures(
            "ticket-peer",
            openLoop(i -> claimantTickets.claim(issuerTickets.issue("w"), "w", deadlineNanos()))));
    DelayedStore store = new DelayedStore();
    try (KeyClaims claims = new KeyClaims(store, Clock.system(), "trial")) {
      figures.addAll(figures("store", openLoop(i -> claims.claim("key-" + i, "w"))));
    }
    double calls = store.calls.get() / (double) (CLAIMS_PER_SECOND * SECONDS);
    figures.add(Figure.info("store-claim-calls", calls, "calls/claim"));
    figures.add(Figure.info("ticket-claim-calls", 0, "calls/claim"));
    return figures;
  }

  private static long deadlineNanos() {
    return System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
  }

  private static Tickets tickets(FixedFleet fleet, PeerLink link) {
    return new Tickets(fleet, link, Clock.system(), "0123456789abcdef", "trial");
  }

  private static List<Figure> figures(String name, Histogram latency) {
    return List.of(
        Figure.info(name + "-claim-p50", latency.getValueAtPercentile(50) / 1e6, "ms"),
        Figure.info(name + "-claim-p99", latency.getValueAtPercentile(99) / 1e6, "ms"));
  }

  private static Histogram openLoop(IntFunction<CompletableFuture<ClaimResult>> claim)
      throws InterruptedException {
    Histogram latency = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(60), 3);
    int count = CLAIMS_PER_SECOND * SECONDS;
    CountDownLatch ungranted = new CountDownLatch(count);
    long startNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long plannedNanos = startNanos + i * (1_000_000_000L / CLAIMS_PER_SECOND);
      while (System.nanoTime() < plannedNanos) {
        LockSupport.parkNanos(plannedNanos - System.nanoTime());
      }
      claim
          .apply(i)
          .thenAccept(
              result -> {
                if (result instanceof ClaimResult.Granted) {
                  latency.recordValue(System.nanoTime() - plannedNanos);
                  ungranted.countDown();
                }
              });
    }
    if (!ungranted.await(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException(ungranted.getCount() + " claims were not granted");
    }
    return latency;
  }

  /** Calls the handlers of another link, or its own, in the same process. */
  private static final class InProcessLink implements PeerLink {
    private final java.util.Map<MessageKind, PeerHandler> handlers =
        new java.util.concurrent.ConcurrentHashMap<>();
    private final InProcessLink peer;

    InProcessLink() {
      this.peer = this;
    }

    InProcessLink(InProcessLink peer) {
      this.peer = peer;
    }

    @Override
    public CompletableFuture<Result<byte[], PeerError>> call(
        PeerAddress to, MessageKind kind, byte[] body, Duration timeout) {
      PeerHandler handler = peer.handlers.get(kind);
      if (handler == null) {
        return CompletableFuture.completedFuture(Result.err(new PeerError.NotSent("none")));
      }
      return handler.handle("b-1", body).thenApply(Result::ok);
    }

    @Override
    public void handle(MessageKind kind, PeerHandler handler) {
      handlers.put(kind, handler);
    }

    @Override
    public PeerAddress localAddress() {
      return new PeerAddress("127.0.0.1", 1);
    }

    @Override
    public String incarnation() {
      return "b-1";
    }

    @Override
    public void setIncarnation(String incarnation) {}

    @Override
    public void close() {}
  }

  /** Delays and counts the calls to an in-memory object store, except watch calls. */
  private static final class DelayedStore implements ObjectStore {
    private final ObjectStore store = new InMemoryObjectStore();
    private final AtomicLong calls = new AtomicLong();

    private void delayAndCount() {
      calls.incrementAndGet();
      LockSupport.parkNanos(STORE_CALL_NANOS);
    }

    @Override
    public Result<StoredObject, StoreError> get(String name) {
      delayAndCount();
      return store.get(name);
    }

    @Override
    public Result<List<StoredObject>, StoreError> list(String prefix) {
      delayAndCount();
      return store.list(prefix);
    }

    @Override
    public Result<StoredObject, StoreError> put(
        String name, byte[] value, long expectedVersion, String writeId) {
      delayAndCount();
      return store.put(name, value, expectedVersion, writeId);
    }

    @Override
    public Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId) {
      delayAndCount();
      return store.delete(name, expectedVersion, writeId);
    }

    @Override
    public Result<WatchBatch, StoreError> watch(
        String prefix, long resumeVersion, Duration maxWait) {
      return store.watch(prefix, resumeVersion, maxWait);
    }

    @Override
    public void close() {
      store.close();
    }
  }
}
