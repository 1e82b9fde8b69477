package verbenahatch.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.ReleaseEvidence;
import verbenahatch.steering.model.PlatformStore;
import verbenahatch.steering.model.PlatformStore.WriteError;
import verbenahatch.steering.model.ReleaseOrder;
import verbenahatch.steering.model.ReleaseOrder.State;
import verbenahatch.steering.model.SteeringSettings.Bounds;
import verbenahatch.steering.model.TargetRecord;

/**
 * Moves the traffic of services to new versions and takes bad versions back.
 *
 * <p>Thread-safe. Every host computes the same verdict from its own evidence and that in beats; any
 * host that finds a version bad stops at once, and the leading host records the state.
 */
final class ReleaseTable {

  /** Part of the allowed exposure that is used before the version has proved itself. */
  private static final double CANARY_PART = 0.6;

  /** Parts of the duration at which the exposure grows, leaving time to take back or finish. */
  private static final double[] STEP_AT = {0.42, 0.50, 0.58, 0.66};

  /** Exposure from each of these times on. */
  private static final double[] STEP_SHARE = {0.2, 0.4, 0.7, 1.0};

  /** Part of the duration after which the old targets have answered what they had. */
  private static final double COMPLETE_AT = 0.9;

  /** Answers of the new version that must be known before the exposure grows. */
  private static final int MIN_EVIDENCE = 12;

  /** Failures on one route below which no version is taken back. */
  private static final int MIN_FAILURES = 4;

  /** Share of failures above which a version is bad, whatever the old version does. */
  private static final double BAD_SHARE = 0.12;

  /** A version is bad if it fails this many times as often as the old one. */
  private static final double BAD_RATIO = 3;

  /** An unknown version gets no request for this time, since its order may be on the way. */
  private static final long UNKNOWN_VERSION_MILLIS = 1_500;

  /** Counts of one route. */
  private static final class Counts {
    final LongAdder newRequests = new LongAdder();
    final LongAdder newFailures = new LongAdder();
    final LongAdder oldRequests = new LongAdder();
    final LongAdder oldFailures = new LongAdder();
  }

  private static final class Release {
    volatile ReleaseOrder order;
    final long seenNanos;
    volatile long elapsedMillis;
    volatile boolean halted;
    volatile double share;
    final EvenSequence draws = new EvenSequence(0);
    final Map<String, Counts> routes = new ConcurrentHashMap<>();

    Release(ReleaseOrder order, long nowNanos) {
      this.order = order;
      this.seenNanos = nowNanos;
    }
  }

  /**
   * Tells which versions a request may use.
   *
   * @param required the only version, null for any
   * @param excluded a version that is not used, null for none
   */
  record VersionRule(@Nullable String required, @Nullable String excluded) {

    static final VersionRule ANY = new VersionRule(null, null);

    boolean allows(String version) {
      return (required == null || required.equals(version)) && !version.equals(excluded);
    }
  }

  private final Clock clock;
  private final Events events;
  private final HostTable hosts;
  private final Bounds bounds;
  private final Map<String, Release> releases = new ConcurrentHashMap<>();
  private final Map<String, Map<String, Long>> versions = new ConcurrentHashMap<>();
  private volatile boolean listed;

  ReleaseTable(Clock clock, Events events, HostTable hosts, Bounds bounds) {
    this.clock = clock;
    this.events = events;
    this.hosts = hosts;
    this.bounds = bounds;
  }

  /** Takes an order or a newer state of it. */
  synchronized void put(ReleaseOrder order) {
    Release known = releases.get(order.service());
    if (known != null
        && known.order.created() == order.created()
        && known.order.version().equals(order.version())) {
      if (order.revision() > known.order.revision()) {
        known.order = order;
        log(known, "state-" + order.state());
      }
      return;
    }
    Release release = new Release(order, clock.nanoTime());
    releases.put(order.service(), release);
    log(release, "ordered-" + order.state());
  }

  synchronized void remove(String service) {
    releases.remove(service);
  }

  /** Remembers versions of targets; those of the first list are known. */
  void sawVersions(Iterable<TargetRecord> records) {
    long since = listed ? clock.nanoTime() : clock.nanoTime() - millis(UNKNOWN_VERSION_MILLIS);
    for (TargetRecord record : records) {
      versions
          .computeIfAbsent(record.service(), s -> new ConcurrentHashMap<>())
          .putIfAbsent(record.version(), since);
    }
    listed = true;
  }

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }

  /** Decides which versions the next request of a service may use. */
  VersionRule nextVersionRule(String service) {
    Release release = releases.get(service);
    if (release == null) {
      return new VersionRule(null, unproven(service));
    }
    String version = release.order.version();
    State state = release.order.state();
    if (state == State.COMPLETED) {
      return new VersionRule(version, null);
    }
    if (release.halted || state == State.ROLLED_BACK) {
      return new VersionRule(null, version);
    }
    return release.draws.next() < release.share
        ? new VersionRule(version, null)
        : new VersionRule(null, version);
  }

  /** Returns the rule for a request that its first rule left without a target. */
  VersionRule fallbackRule(String service, VersionRule rule) {
    Release release = releases.get(service);
    if (release == null || rule.required() == null || release.share >= 1) {
      return rule;
    }
    boolean completed = release.order.state() == State.COMPLETED;
    return completed ? rule : new VersionRule(null, release.order.version());
  }

  private @Nullable String unproven(String service) {
    Map<String, Long> seen = versions.get(service);
    if (seen == null || seen.size() < 2) {
      return null;
    }
    long now = clock.nanoTime();
    for (Map.Entry<String, Long> entry : seen.entrySet()) {
      if (now - entry.getValue() < millis(UNKNOWN_VERSION_MILLIS)) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** Counts the end of a request. */
  void record(String service, String route, String version, boolean failed) {
    Release release = releases.get(service);
    if (release == null || release.order.state().ordinal() > State.RUNNING.ordinal()) {
      return;
    }
    Counts counts = release.routes.computeIfAbsent(route, r -> new Counts());
    boolean isNew = version.equals(release.order.version());
    (isNew ? counts.newRequests : counts.oldRequests).increment();
    if (failed) {
      (isNew ? counts.newFailures : counts.oldFailures).increment();
    }
    if (isNew && failed) {
      judge(release);
    }
  }

  /** Moves every release on; the leading host records states. */
  void tick(boolean storeReachable, PlatformStore store) {
    for (Release release : releases.values()) {
      if (release.order.state().ordinal() > State.RUNNING.ordinal()) {
        continue;
      }
      judge(release);
      step(release);
      if (hosts.leads(storeReachable)) {
        recordState(release, store);
      }
    }
  }

  private void step(Release release) {
    long now = clock.nanoTime();
    long elapsed = (now - release.seenNanos) / 1_000_000;
    for (ReleaseEvidence evidence : evidence(release)) {
      elapsed = Math.max(elapsed, evidence.getElapsedMillis());
    }
    release.elapsedMillis = elapsed;
    double part = (double) elapsed / Math.max(1, release.order.durationMillis());
    double share = bounds.canaryShare() * CANARY_PART;
    long known = 0;
    for (Totals totals : totals(release).values()) {
      known += totals.newRequests;
    }
    for (int i = 0; i < STEP_AT.length && known >= MIN_EVIDENCE; i++) {
      if (part >= STEP_AT[i]) {
        share = STEP_SHARE[i];
      }
    }
    if (share != release.share) {
      release.share = share;
      log(release, "share-" + share);
    }
  }

  private void recordState(Release release, PlatformStore store) {
    ReleaseOrder order = release.order;
    State wanted = order.state() == State.ORDERED ? State.RUNNING : order.state();
    double part = (double) release.elapsedMillis / Math.max(1, order.durationMillis());
    if (release.halted) {
      wanted = State.ROLLED_BACK;
    } else if (release.share >= 1 && part >= COMPLETE_AT) {
      wanted = State.COMPLETED;
    }
    if (wanted == order.state()) {
      return;
    }
    Result<Boolean, WriteError> written = store.putReleaseState(order, wanted);
    if (!written.isOk()) {
      events.log(
          SteeringEvent.WRITE_FAILED, "release/" + order.service(), written.error().toString());
    }
  }

  private record Totals(
      long newRequests, long newFailures, long oldRequests, long oldFailures, boolean halted) {

    Totals plus(Totals other) {
      return new Totals(
          newRequests + other.newRequests,
          newFailures + other.newFailures,
          oldRequests + other.oldRequests,
          oldFailures + other.oldFailures,
          halted || other.halted);
    }
  }

  private Map<String, Totals> totals(Release release) {
    Map<String, Totals> totals = new HashMap<>();
    release.routes.forEach(
        (route, counts) ->
            totals.put(
                route,
                new Totals(
                    counts.newRequests.sum(),
                    counts.newFailures.sum(),
                    counts.oldRequests.sum(),
                    counts.oldFailures.sum(),
                    release.halted)));
    for (ReleaseEvidence evidence : evidence(release)) {
      Totals other =
          new Totals(
              evidence.getNewRequests(),
              evidence.getNewFailures(),
              evidence.getOldRequests(),
              evidence.getOldFailures(),
              evidence.getHalted());
      totals.merge(evidence.getRoute(), other, Totals::plus);
    }
    return totals;
  }

  private List<ReleaseEvidence> evidence(Release release) {
    List<ReleaseEvidence> found = new ArrayList<>();
    for (HostBeat beat : hosts.live()) {
      for (ReleaseEvidence evidence : beat.getEvidenceList()) {
        boolean same =
            evidence.getService().equals(release.order.service())
                && evidence.getVersion().equals(release.order.version());
        if (same) {
          found.add(evidence);
        }
      }
    }
    return found;
  }

  private void judge(Release release) {
    if (release.halted) {
      return;
    }
    for (Totals totals : totals(release).values()) {
      double newShare = totals.newFailures / Math.max(1.0, totals.newRequests);
      double oldShare = totals.oldFailures / Math.max(1.0, totals.oldRequests);
      boolean bad =
          totals.newFailures >= MIN_FAILURES
              && newShare > Math.max(BAD_SHARE, BAD_RATIO * oldShare);
      if (bad || totals.halted) {
        release.halted = true;
        log(release, "halted");
        return;
      }
    }
  }

  private void log(Release release, String step) {
    Totals sum = new Totals(0, 0, 0, 0, false);
    for (Totals totals : totals(release).values()) {
      sum = sum.plus(totals);
    }
    events.log(
        SteeringEvent.RELEASE,
        release.order.service(),
        release.order.version(),
        step,
        sum.newFailures,
        sum.newRequests,
        sum.oldFailures,
        sum.oldRequests);
  }

  /** Writes the evidence that other hosts need. */
  void describe(HostBeat.Builder beat) {
    for (Release release : releases.values()) {
      if (release.order.state().ordinal() > State.RUNNING.ordinal()) {
        continue;
      }
      // An entry without a route carries the time and the halt while there are no counts.
      beat.addEvidence(describeRoute(release, "", new Counts()));
      release.routes.forEach(
          (route, counts) -> beat.addEvidence(describeRoute(release, route, counts)));
    }
  }

  private static ReleaseEvidence describeRoute(Release release, String route, Counts counts) {
    return ReleaseEvidence.newBuilder()
        .setService(release.order.service())
        .setVersion(release.order.version())
        .setRoute(route)
        .setNewRequests(counts.newRequests.sum())
        .setNewFailures(counts.newFailures.sum())
        .setOldRequests(counts.oldRequests.sum())
        .setOldFailures(counts.oldFailures.sum())
        .setHalted(release.halted)
        .setElapsedMillis(release.elapsedMillis)
        .build();
  }

  /** Describes the releases for the state dump. */
  Map<String, String> view() {
    Map<String, String> view = new HashMap<>();
    releases.forEach(
        (service, release) ->
            view.put(
                service,
                release.order.version()
                    + " "
                    + release.order.state()
                    + " share "
                    + release.share
                    + (release.halted ? " halted" : "")));
    return view;
  }
}
