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
 * Moves the traffic of services to new versions and rolls bad versions back.
 *
 * <p>Thread-safe. Every host evaluates releases from its own evidence and that in heartbeats. Any
 * host that finds a version bad halts the release at once, and the leader records the state.
 */
final class ReleaseTable {

  /** Fraction of the allowed exposure that is used while there is no evidence for the version. */
  private static final double CANARY_FRACTION = 0.6;

  /** Fractions of the duration at which the exposure grows; leave time to roll back or finish. */
  private static final double[] STEP_TIME_FRACTIONS = {0.42, 0.50, 0.58, 0.66};

  /** Exposure, from 0 to 1, from each of these times on. */
  private static final double[] STEP_EXPOSURES = {0.2, 0.4, 0.7, 1.0};

  /** Fraction of the duration after which the old targets have answered their last requests. */
  private static final double COMPLETION_TIME_FRACTION = 0.9;

  /** Responses of the new version that must be known before the exposure grows. */
  private static final int MIN_NEW_RESPONSES = 12;

  /** Failures on one route below which no version is rolled back. */
  private static final int MIN_FAILURES = 4;

  /** A version is never bad up to this fraction of failures, whatever the old version does. */
  private static final double TOLERATED_FAILURE_FRACTION = 0.12;

  /** A version is never bad up to this multiple of the failure fraction of the old version. */
  private static final double TOLERATED_FAILURE_RATIO = 3;

  /** An unknown version gets no requests for this time, because its order may still arrive. */
  private static final long UNKNOWN_VERSION_HOLD_MILLIS = 1_500;

  /**
   * Time after a restore of the store after which any host writes the state of a release again. By
   * then the leader has done so, unless it started after the restore and does not know the state.
   */
  private static final long REWRITE_MILLIS = 2_000;

  /** Counts the requests of one route by version since the order. */
  private static final class RouteCounts {
    final LongAdder newRequests = new LongAdder();
    final LongAdder newFailures = new LongAdder();
    final LongAdder oldRequests = new LongAdder();
    final LongAdder oldFailures = new LongAdder();
  }

  private static final class Release {
    volatile ReleaseOrder order;

    /** The state in force; later than that of the order if the store lost it in a restore. */
    volatile State state;

    /** Whether the store was restored and has not shown the state in force since. */
    volatile boolean restored;

    volatile long restoredNanos;
    final long firstSeenNanos;
    volatile long elapsedMillis;
    volatile boolean halted;
    volatile double exposure;
    final LowDiscrepancySequence sequence = new LowDiscrepancySequence(0);
    final Map<String, RouteCounts> routes = new ConcurrentHashMap<>();

    Release(ReleaseOrder order, long nowNanos) {
      this.order = order;
      this.state = order.state();
      this.firstSeenNanos = nowNanos;
    }
  }

  /**
   * Restricts the versions that a request may use.
   *
   * @param required the only version that may be used, null for any
   * @param excluded a version that must not be used, null for none
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
  private volatile boolean versionsListed;

  ReleaseTable(Clock clock, Events events, HostTable hosts, Bounds bounds) {
    this.clock = clock;
    this.events = events;
    this.hosts = hosts;
    this.bounds = bounds;
  }

  /** Puts the given orders in force, by service, and ends the releases of all other services. */
  synchronized void replace(Map<String, ReleaseOrder> orders) {
    orders.values().forEach(this::put);
    releases.keySet().retainAll(orders.keySet());
  }

  /**
   * Returns whether an order of a restored store takes the place of one that was in force before.
   *
   * <p>An order for another version whose revision is not above that of the older one may come from
   * the backup, so that the order in force is the newer one.
   */
  static boolean replaces(ReleaseOrder shown, ReleaseOrder held) {
    return shown.version().equals(held.version())
        || shown.revision().number() > held.revision().number();
  }

  /**
   * Starts a release, or applies a newer state of one; an older state is ignored.
   *
   * <p>After a restore of the store an order for the same version continues its release, and the
   * state in force does not go back.
   */
  synchronized void put(ReleaseOrder order) {
    Release current = releases.get(order.service());
    long currentEra = current == null ? 0 : current.order.revision().era();
    if (order.revision().era() < currentEra) {
      return;
    }
    boolean restored = current != null && order.revision().era() > currentEra;
    if (current != null
        && (restored || current.order.created() == order.created())
        && current.order.version().equals(order.version())) {
      if (order.revision().isAfter(current.order.revision())) {
        apply(current, order, restored);
      }
      return;
    }
    Release release = new Release(order, clock.nanoTime());
    releases.put(order.service(), release);
    log(release, "ordered-" + order.state());
  }

  private void apply(Release release, ReleaseOrder order, boolean restored) {
    release.order = order;
    if (restored) {
      release.restored = true;
      release.restoredNanos = clock.nanoTime();
    }
    boolean isBehind = order.state().ordinal() < release.state.ordinal();
    if (release.restored && isBehind) {
      log(release, "restored-" + order.state());
      return;
    }
    release.restored = false;
    release.state = order.state();
    log(release, "state-" + order.state());
  }

  /**
   * Records the versions of targets.
   *
   * <p>Versions of the first list may get requests at once; later ones only after {@link
   * #UNKNOWN_VERSION_HOLD_MILLIS}, unless an order for the service arrives.
   */
  void addVersions(Iterable<TargetRecord> records) {
    long firstSeenNanosOfVersion =
        versionsListed ? clock.nanoTime() : clock.nanoTime() - toNanos(UNKNOWN_VERSION_HOLD_MILLIS);
    for (TargetRecord record : records) {
      versions
          .computeIfAbsent(record.service(), s -> new ConcurrentHashMap<>())
          .putIfAbsent(record.version(), firstSeenNanosOfVersion);
    }
    versionsListed = true;
  }

  private static long toNanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Returns the rule that the next request of a service must follow. */
  VersionRule nextVersionRule(String service) {
    return versionRule(service, true);
  }

  /** Returns the rule that the next request of a service would follow, and draws nothing. */
  VersionRule peekVersionRule(String service) {
    return versionRule(service, false);
  }

  private VersionRule versionRule(String service, boolean draws) {
    Release release = releases.get(service);
    if (release == null) {
      return new VersionRule(null, unknownVersion(service));
    }
    String version = release.order.version();
    State state = release.state;
    if (state == State.COMPLETED) {
      return new VersionRule(version, null);
    }
    if (release.halted || state == State.ROLLED_BACK) {
      return new VersionRule(null, version);
    }
    double point = draws ? release.sequence.next() : release.sequence.peek();
    return point < release.exposure
        ? new VersionRule(version, null)
        : new VersionRule(null, version);
  }

  /** Returns the rule for a request for which its first rule allowed no target. */
  VersionRule fallbackRule(String service, VersionRule rule) {
    Release release = releases.get(service);
    if (release == null || rule.required() == null || release.exposure >= 1) {
      return rule;
    }
    boolean completed = release.state == State.COMPLETED;
    return completed ? rule : new VersionRule(null, release.order.version());
  }

  private @Nullable String unknownVersion(String service) {
    Map<String, Long> firstSeenByVersion = versions.get(service);
    if (firstSeenByVersion == null || firstSeenByVersion.size() < 2) {
      return null;
    }
    long now = clock.nanoTime();
    for (Map.Entry<String, Long> entry : firstSeenByVersion.entrySet()) {
      if (now - entry.getValue() < toNanos(UNKNOWN_VERSION_HOLD_MILLIS)) {
        return entry.getKey();
      }
    }
    return null;
  }

  /**
   * Counts a finished request, and halts the release if it shows that the version is bad.
   *
   * <p>Ignored if the service has no release that is ordered or running.
   */
  void record(String service, String route, String version, boolean failed) {
    Release release = releases.get(service);
    if (release == null || !isOpen(release)) {
      return;
    }
    RouteCounts counts = release.routes.computeIfAbsent(route, r -> new RouteCounts());
    boolean isNew = version.equals(release.order.version());
    (isNew ? counts.newRequests : counts.oldRequests).increment();
    if (failed) {
      (isNew ? counts.newFailures : counts.oldFailures).increment();
    }
    if (isNew && failed) {
      haltIfBad(release);
    }
  }

  /** Updates the exposure of every release; the leader also records changes of state. */
  void tick(boolean storeReachable, PlatformStore store) {
    for (Release release : releases.values()) {
      if (isOpen(release)) {
        haltIfBad(release);
        updateExposure(release);
      } else if (!release.restored) {
        continue;
      }
      if (hosts.isLeader(storeReachable)) {
        recordState(release, store);
      } else if (storeReachable && isRewriteDue(release)) {
        write(release.order, release.state, store);
      }
    }
  }

  private static boolean isOpen(Release release) {
    return release.state.ordinal() <= State.RUNNING.ordinal();
  }

  private boolean isRewriteDue(Release release) {
    return release.restored && clock.nanoTime() - release.restoredNanos >= toNanos(REWRITE_MILLIS);
  }

  private void updateExposure(Release release) {
    long now = clock.nanoTime();
    long elapsed = (now - release.firstSeenNanos) / 1_000_000;
    for (ReleaseEvidence evidence : evidence(release)) {
      elapsed = Math.max(elapsed, evidence.getElapsedMillis());
    }
    release.elapsedMillis = elapsed;
    double timeFraction = (double) elapsed / Math.max(1, release.order.durationMillis());
    double exposure = bounds.canaryShare() * CANARY_FRACTION;
    long newResponses = 0;
    for (Totals totals : totals(release).values()) {
      newResponses += totals.newRequests;
    }
    for (int i = 0; i < STEP_TIME_FRACTIONS.length && newResponses >= MIN_NEW_RESPONSES; i++) {
      if (timeFraction >= STEP_TIME_FRACTIONS[i]) {
        exposure = STEP_EXPOSURES[i];
      }
    }
    if (exposure != release.exposure) {
      release.exposure = exposure;
      log(release, "share-" + exposure);
    }
  }

  private void recordState(Release release, PlatformStore store) {
    ReleaseOrder order = release.order;
    State nextState = release.state == State.ORDERED ? State.RUNNING : release.state;
    double timeFraction = (double) release.elapsedMillis / Math.max(1, order.durationMillis());
    if (release.halted && isOpen(release)) {
      nextState = State.ROLLED_BACK;
    } else if (isOpen(release)
        && release.exposure >= 1
        && timeFraction >= COMPLETION_TIME_FRACTION) {
      nextState = State.COMPLETED;
    }
    if (nextState != order.state()) {
      write(order, nextState, store);
    }
  }

  private void write(ReleaseOrder order, State nextState, PlatformStore store) {
    Result<Boolean, WriteError> written = store.putReleaseState(order, nextState);
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
    List<ReleaseEvidence> matching = new ArrayList<>();
    for (HostBeat heartbeat : hosts.live()) {
      for (ReleaseEvidence evidence : heartbeat.getEvidenceList()) {
        boolean isOfRelease =
            evidence.getService().equals(release.order.service())
                && evidence.getVersion().equals(release.order.version());
        if (isOfRelease) {
          matching.add(evidence);
        }
      }
    }
    return matching;
  }

  private void haltIfBad(Release release) {
    if (release.halted) {
      return;
    }
    for (Totals totals : totals(release).values()) {
      double newFailureFraction = totals.newFailures / Math.max(1.0, totals.newRequests);
      double oldFailureFraction = totals.oldFailures / Math.max(1.0, totals.oldRequests);
      boolean bad =
          totals.newFailures >= MIN_FAILURES
              && newFailureFraction
                  > Math.max(
                      TOLERATED_FAILURE_FRACTION, TOLERATED_FAILURE_RATIO * oldFailureFraction);
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

  /**
   * Adds the evidence of this host to a heartbeat, for all releases that are ordered or running.
   */
  void addEvidence(HostBeat.Builder heartbeat) {
    for (Release release : releases.values()) {
      if (!isOpen(release)) {
        continue;
      }
      // An entry without a route transmits elapsed time and halt while there are no counts.
      heartbeat.addEvidence(routeEvidence(release, "", new RouteCounts()));
      release.routes.forEach(
          (route, counts) -> heartbeat.addEvidence(routeEvidence(release, route, counts)));
    }
  }

  private static ReleaseEvidence routeEvidence(Release release, String route, RouteCounts counts) {
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

  /** Returns a description of each release for the state dump, by service. */
  Map<String, String> view() {
    Map<String, String> view = new HashMap<>();
    releases.forEach(
        (service, release) ->
            view.put(
                service,
                release.order.version()
                    + " "
                    + release.state
                    + " share "
                    + release.exposure
                    + (release.halted ? " halted" : "")));
    return view;
  }
}
