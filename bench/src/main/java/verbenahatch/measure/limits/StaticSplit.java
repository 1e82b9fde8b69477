package verbenahatch.measure.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import verbenahatch.kernel.Clock;
import verbenahatch.limits.Admission;
import verbenahatch.limits.LimitKind;
import verbenahatch.limits.Limits;
import verbenahatch.limits.LocalBucket;
import verbenahatch.limits.Share;
import verbenahatch.limits.testing.SimulatedHost;

/** Baseline: every host holds an even, fixed part of the rate and the burst of one workspace. */
final class StaticSplit {

  private final Clock clock;
  private final Share part;
  private final Map<SimulatedHost, Limits> hosts = new HashMap<>();

  StaticSplit(Clock clock, double rate, double burst, int count) {
    this.clock = clock;
    long ofRate = (long) (rate * Share.TOKEN / count);
    long ofBurst = (long) (burst * Share.TOKEN / count);
    this.part = new Share(ofRate, ofBurst, 0);
  }

  Limits of(SimulatedHost host) {
    return hosts.computeIfAbsent(host, key -> new Part());
  }

  private final class Part extends RequestsOnly {

    private final LocalBucket bucket = new LocalBucket(LimitKind.REQUESTS, clock.nanoTime());

    Part() {
      bucket.add(part, clock.nanoTime());
    }

    @Override
    public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
      boolean taken = bucket.take(Share.TOKEN, clock.nanoTime());
      return CompletableFuture.completedFuture(
          taken ? new Admission.Admitted() : new Admission.OverLimit(1));
    }
  }
}
