package verbenahatch.measure.limits;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import verbenahatch.limits.Admission;
import verbenahatch.limits.LimitKind;
import verbenahatch.limits.Limits;
import verbenahatch.limits.LocalBucket;
import verbenahatch.limits.Share;
import verbenahatch.limits.testing.LimitSimulation;
import verbenahatch.limits.testing.SimulatedHost;

/**
 * Baseline: one host decides about every request of a workspace; the others ask it. When it is
 * lost, the next host takes over with an empty bucket once the loss is certain, if the store is up.
 */
final class SingleOwner {

  /** Suspicion, fencing and lapse of the lost owner, as for a home of shares. */
  private static final Duration TAKE_OVER = Duration.ofMillis(4_000);

  private static final Duration TIMEOUT = Duration.ofMillis(300);
  private static final Duration INSIDE = Duration.ofMillis(1);
  private static final Duration BETWEEN = Duration.ofMillis(35);

  private final LimitSimulation simulation;
  private final Share total;
  private LocalBucket bucket;
  private int owner;
  private boolean takingOver;
  private long messages;

  SingleOwner(LimitSimulation simulation, double rate, double burst) {
    this.simulation = simulation;
    this.total = new Share((long) (rate * Share.TOKEN), (long) (burst * Share.TOKEN), 0);
    this.bucket = newBucket();
  }

  private LocalBucket newBucket() {
    long now = simulation.clock().nanoTime();
    LocalBucket empty = new LocalBucket(LimitKind.REQUESTS, now);
    empty.add(total, now);
    return empty;
  }

  /** Returns the requests and answers sent so far. */
  long messages() {
    return messages;
  }

  Limits of(SimulatedHost host) {
    int index = simulation.hosts().indexOf(host);
    return new RequestsOnly() {
      @Override
      public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
        return ask(index);
      }
    };
  }

  private CompletableFuture<Admission> ask(int index) {
    CompletableFuture<Admission> answer = new CompletableFuture<>();
    if (!simulation.hosts().get(owner).isRunning()) {
      takeOver();
      later(TIMEOUT, () -> answer.complete(new Admission.OverLimit(1)));
    } else if (index == owner) {
      answer.complete(decide());
    } else {
      Duration way = simulation.isSameRegion(index, owner) ? INSIDE : BETWEEN;
      messages += 2;
      later(
          way,
          () -> {
            Admission decision = decide();
            later(way, () -> answer.complete(decision));
          });
    }
    return answer;
  }

  private Admission decide() {
    boolean taken = bucket.take(Share.TOKEN, simulation.clock().nanoTime());
    return taken ? new Admission.Admitted() : new Admission.OverLimit(1);
  }

  private void takeOver() {
    if (takingOver) {
      return;
    }
    takingOver = true;
    later(
        TAKE_OVER,
        () -> {
          takingOver = false;
          if (!simulation.store().isDown()) {
            owner = (owner + 1) % simulation.hosts().size();
            bucket = newBucket();
          }
        });
  }

  private void later(Duration delay, Runnable action) {
    simulation.network().schedule(delay, action);
  }
}
