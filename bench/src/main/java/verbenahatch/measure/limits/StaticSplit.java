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

/** Baseline: every host holds an equal, fixed share of the rate and burst of one workspace. */
final class StaticSplit {

  private final Clock clock;
  private final Share hostShare;
  private final Map<SimulatedHost, Limits> hosts = new HashMap<>();

  StaticSplit(Clock clock, double rate, double burst, int hostCount) {
    this.clock = clock;
    long hostRate = (long) (rate * Share.TOKEN / hostCount);
    long hostBurst = (long) (burst * Share.TOKEN / hostCount);
    this.hostShare = new Share(hostRate, hostBurst, 0);
  }

  Limits of(SimulatedHost host) {
    return hosts.computeIfAbsent(host, key -> new HostLimits());
  }

  private final class HostLimits extends RequestLimitsOnly {

    private final LocalBucket bucket = new LocalBucket(LimitKind.REQUESTS, clock.nanoTime());

    HostLimits() {
      bucket.add(hostShare, clock.nanoTime());
    }

    @Override
    public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
      boolean isAdmitted = bucket.take(Share.TOKEN, clock.nanoTime());
      return CompletableFuture.completedFuture(
          isAdmitted ? new Admission.Admitted() : new Admission.OverLimit(1));
    }
  }
}
