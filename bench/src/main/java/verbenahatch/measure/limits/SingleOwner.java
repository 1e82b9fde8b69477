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
 * Baseline: one host decides on every request of a workspace, and the others send it a message for
 * each. When the owner is lost, the next host takes over with an empty bucket once the loss is
 * certain, if the store is up.
 */
final class SingleOwner {

  /** Time to suspect, fence and expire the lost owner, as for the coordinator of a limit group. */
  private static final Duration TAKEOVER_DELAY = Duration.ofMillis(4_000);

  private static final Duration TIMEOUT = Duration.ofMillis(300);
  private static final Duration SAME_REGION_LATENCY = Duration.ofMillis(1);
  private static final Duration CROSS_REGION_LATENCY = Duration.ofMillis(35);

  private final LimitSimulation simulation;
  private final Share fullLimit;
  private LocalBucket bucket;
  private int ownerIndex;
  private boolean isTakingOver;
  private long messages;

  SingleOwner(LimitSimulation simulation, double rate, double burst) {
    this.simulation = simulation;
    this.fullLimit = new Share((long) (rate * Share.TOKEN), (long) (burst * Share.TOKEN), 0);
    this.bucket = newBucket();
  }

  private LocalBucket newBucket() {
    long nowNanos = simulation.clock().nanoTime();
    LocalBucket empty = new LocalBucket(LimitKind.REQUESTS, nowNanos);
    empty.add(fullLimit, nowNanos);
    return empty;
  }

  /** Returns the number of requests and responses sent between hosts so far. */
  long messages() {
    return messages;
  }

  Limits of(SimulatedHost host) {
    int index = simulation.hosts().indexOf(host);
    return new RequestLimitsOnly() {
      @Override
      public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
        return requestAdmission(index);
      }
    };
  }

  private CompletableFuture<Admission> requestAdmission(int index) {
    CompletableFuture<Admission> admission = new CompletableFuture<>();
    if (!simulation.hosts().get(ownerIndex).isRunning()) {
      takeOver();
      runAfter(TIMEOUT, () -> admission.complete(new Admission.OverLimit(1)));
    } else if (index == ownerIndex) {
      admission.complete(decide());
    } else {
      Duration latency =
          simulation.isSameRegion(index, ownerIndex) ? SAME_REGION_LATENCY : CROSS_REGION_LATENCY;
      messages += 2;
      runAfter(
          latency,
          () -> {
            Admission decision = decide();
            runAfter(latency, () -> admission.complete(decision));
          });
    }
    return admission;
  }

  private Admission decide() {
    boolean isAdmitted = bucket.take(Share.TOKEN, simulation.clock().nanoTime());
    return isAdmitted ? new Admission.Admitted() : new Admission.OverLimit(1);
  }

  private void takeOver() {
    if (isTakingOver) {
      return;
    }
    isTakingOver = true;
    runAfter(
        TAKEOVER_DELAY,
        () -> {
          isTakingOver = false;
          if (!simulation.store().isDown()) {
            ownerIndex = (ownerIndex + 1) % simulation.hosts().size();
            bucket = newBucket();
          }
        });
  }

  private void runAfter(Duration delay, Runnable action) {
    simulation.network().schedule(delay, action);
  }
}
