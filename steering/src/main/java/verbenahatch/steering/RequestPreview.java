package verbenahatch.steering;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.steering.ReleaseTable.VersionRule;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.TargetSelector.CostParts;
import verbenahatch.steering.TargetSelector.Criteria;
import verbenahatch.steering.TargetSelector.Preview;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.quota.QuotaView;

/**
 * Tells where a request of a caller would go now, and why, without sending it.
 *
 * <p>Reads the state of the host only: no draw, token, count, probe or weight changes, and the
 * store is not asked. The result may be out of date by the time it arrives.
 */
final class RequestPreview {

  /**
   * Describes a request.
   *
   * @param host the host name that the request names
   * @param path the path
   * @param method the method; does not select a route, null if not given
   * @param key the key, null if it has none; never part of the result
   * @param workspace the workspace to assume in place of a key, null if not given
   * @param object the object that the request names, null if it names none
   * @param bodyBytes the length of the body in bytes
   * @param zone the caller's zone, null if not given
   */
  record Query(
      @Nullable String host,
      @Nullable String path,
      @Nullable String method,
      @Nullable String key,
      @Nullable String workspace,
      @Nullable String object,
      long bodyBytes,
      @Nullable String zone) {}

  /**
   * Describes a route.
   *
   * @param parts the services among which the route is split
   * @param service the service that the next request of any caller would get
   */
  record RouteView(
      String name,
      String pathPrefix,
      boolean idempotent,
      int priority,
      long timeoutMillis,
      double targetLatencyMillis,
      List<RoutePart> parts,
      String service) {}

  /**
   * Describes a target as this host sees it.
   *
   * @param warm whether this host sent it a request for the object recently
   * @param load the estimated number of requests that run or wait there
   * @param slowness the response time relative to the mean of the service
   * @param failureRate the share of recent failures, from 0 to 1
   * @param excluded why it would not get the request, null if it may
   * @param estimate the estimated cost, null if it is excluded or full
   */
  record Candidate(
      String id,
      String region,
      String zone,
      String version,
      int slots,
      int inFlight,
      double load,
      double slowness,
      double failureRate,
      boolean cold,
      boolean warm,
      long backOffMillis,
      @Nullable TargetExclusion excluded,
      @Nullable Estimate estimate) {}

  /**
   * Holds the parts of the estimated cost of a target, in ms.
   *
   * @param firstRequest whether the target is due its first request, which makes work and waits
   *     free
   */
  record Estimate(
      long work,
      long queueing,
      long crowding,
      long failures,
      long distance,
      long price,
      long total,
      boolean firstRequest) {

    static Estimate of(CostParts parts) {
      return new Estimate(
          Math.round(parts.work()),
          Math.round(parts.queueing()),
          Math.round(parts.crowding()),
          Math.round(parts.failures()),
          Math.round(parts.distance()),
          Math.round(parts.price()),
          Math.round(parts.total()),
          parts.due());
    }
  }

  /** Describes the response that the caller would get in place of one of a target. */
  record Refusal(String reason, int status, @Nullable String retryAfterSeconds, String detail) {}

  /**
   * Holds the result of a query; what could not be determined is null.
   *
   * @param versionRule the versions that the next request would be allowed
   * @param callerRegion the region of the caller's zone
   * @param choice the id of the target that would get the request, if it is admitted
   */
  record Result(
      String host,
      String region,
      long document,
      @Nullable String callerRegion,
      @Nullable RouteView route,
      @Nullable String workspace,
      @Nullable QuotaView admission,
      @Nullable VersionRule versionRule,
      List<Candidate> candidates,
      @Nullable String choice,
      @Nullable Refusal refusal) {}

  private final SteeringState state;
  private final Query query;
  private @Nullable RouteView routeView;
  private @Nullable SteeringWorkspace workspace;
  private @Nullable QuotaView admission;
  private @Nullable VersionRule versionRule;
  private final List<Candidate> candidates = new ArrayList<>();
  private @Nullable String choice;
  private String noChoice = "no usable target";

  private RequestPreview(SteeringState state, Query query) {
    this.state = state;
    this.query = query;
  }

  /**
   * Answers a query.
   *
   * @param state the state of the host
   * @param query the request
   * @return the result; it names no key
   */
  static Result of(SteeringState state, Query query) {
    return new RequestPreview(state, query).result();
  }

  private Result result() {
    DocumentIndex index = state.document();
    final Refusal refusal = index == null ? refusal(RefusalReason.NO_DOCUMENT, "") : decide(index);
    return new Result(
        state.settings.host(),
        state.settings.region(),
        index == null ? 0 : index.document.version(),
        query.zone == null ? null : state.settings.regionsByZone().get(query.zone),
        routeView,
        workspace == null ? null : workspace.name(),
        admission,
        versionRule,
        candidates,
        choice,
        refusal);
  }

  private @Nullable Refusal decide(DocumentIndex index) {
    if (state.stopSignal.plan() != null) {
      return refusal(RefusalReason.STOPPING, "the host is being stopped");
    }
    if (!state.hasReadAllFeeds()) {
      return refusal(RefusalReason.NO_DOCUMENT, "not all objects of the store were read yet");
    }
    if (query.host == null || query.path == null) {
      return refusal(RefusalReason.BAD_REQUEST, "no host or path");
    }
    SteeringRoute route = index.route(query.host.toLowerCase(Locale.ROOT), query.path);
    if (route == null) {
      return refusal(RefusalReason.NO_ROUTE, query.host + query.path);
    }
    String service = index.peekService(route);
    routeView =
        new RouteView(
            route.name(),
            route.pathPrefix(),
            route.idempotent(),
            route.priority(),
            route.timeoutMillis(),
            route.targetLatencyMillis(),
            route.parts(),
            service);
    Refusal notAdmitted = admit(index, route);
    listCandidates(index, service, route);
    if (notAdmitted != null) {
      return notAdmitted;
    }
    if (query.bodyBytes > index.document.limits().maxBodyBytes()) {
      return refusal(RefusalReason.BODY_TOO_LONG, "the document allows less");
    }
    return choice == null ? refusal(RefusalReason.NO_CAPACITY, noChoice) : null;
  }

  private @Nullable Refusal admit(DocumentIndex index, SteeringRoute route) {
    if (!index.needsKeys() || route.open()) {
      return null;
    }
    SteeringWorkspace found = query.key == null ? named(index) : index.workspace(query.key);
    if (found == null) {
      return refusal(RefusalReason.BAD_KEY, "no known key or workspace");
    }
    workspace = found;
    QuotaView view = state.quotas.view(found);
    admission = view;
    boolean over = view.decidedBy() == QuotaView.DecidedBy.THIS_HOST && view.remaining() == 0;
    return over ? refusal(RefusalReason.OVER_QUOTA, "rate " + found.ratePerSecond()) : null;
  }

  private @Nullable SteeringWorkspace named(DocumentIndex index) {
    for (SteeringWorkspace candidate : index.document.workspaces()) {
      if (candidate.name().equals(query.workspace)) {
        return candidate;
      }
    }
    return null;
  }

  private void listCandidates(DocumentIndex index, String service, SteeringRoute route) {
    VersionRule rule = state.releases.peekVersionRule(service);
    versionRule = rule;
    ServiceTargets targets = state.targets.find(service);
    if (targets == null) {
      return;
    }
    Set<String> allowedRegions = RequestPolicy.allowedRegions(route, workspace);
    long now = state.clock.nanoTime();
    long objectHash = Hashing.of(query.object + service);
    Map<Target, TargetExclusion> exclusions = new IdentityHashMap<>();
    List<Target> usable = new ArrayList<>();
    for (Target target : targets.targets) {
      boolean evacuated = state.targets.isEvacuated(target.record().zone());
      boolean owner = state.hosts.isWarmUpOwner(target.idHash, target.region);
      TargetExclusion exclusion =
          TargetExclusion.of(target, evacuated, allowedRegions, rule, owner, now);
      if (exclusion == null) {
        usable.add(target);
      } else {
        exclusions.put(target, exclusion);
      }
    }
    Criteria criteria =
        new Criteria(
            targets,
            index.document.services().get(service),
            targets.times(route.name()),
            objectHash,
            query.object != null,
            state.settings.region(),
            allowedRegions,
            query.bodyBytes,
            Set.of(),
            rule,
            route.targetLatencyMillis(),
            RequestPolicy.maxLateWaitMillis(route, workspace));
    Preview preview = state.selector.preview(criteria, usable);
    if (preview.outcome() instanceof Choice chosen) {
      choice = chosen.target().record().id();
    } else {
      noChoice = preview.outcome().toString().strip();
    }
    for (Target target : targets.targets) {
      boolean warm = query.object != null && target.recentObjects.contains(objectHash);
      CostParts costs = preview.costs().get(target);
      candidates.add(candidate(target, exclusions.get(target), costs, warm, now));
    }
  }

  private static Candidate candidate(
      Target target,
      @Nullable TargetExclusion exclusion,
      @Nullable CostParts costs,
      boolean warm,
      long nowNanos) {
    return new Candidate(
        target.record().id(),
        target.region,
        target.record().zone(),
        target.record().version(),
        target.record().slots(),
        target.inFlight.get(),
        target.load(nowNanos),
        target.slowness(nowNanos),
        target.failureRate(nowNanos),
        target.isCold(nowNanos),
        warm,
        target.backOffMillis(nowNanos),
        exclusion,
        costs == null ? null : Estimate.of(costs));
  }

  private Refusal refusal(RefusalReason reason, String detail) {
    RouteView route = routeView;
    double remaining =
        route == null ? RequestPolicy.DEFAULT_REMAINING_MILLIS : route.timeoutMillis();
    String retryAfter =
        reason.guaranteesNotRun() ? RequestPolicy.retryAfterSeconds(remaining, backOff()) : null;
    return new Refusal(reason.name(), reason.status(), retryAfter, detail);
  }

  /** Returns the shortest pause in ms if all targets that are otherwise usable asked for one. */
  private long backOff() {
    long shortest = Long.MAX_VALUE;
    for (Candidate candidate : candidates) {
      if (candidate.excluded() == null) {
        return 0;
      }
      if (candidate.excluded() == TargetExclusion.PAUSED) {
        shortest = Math.min(shortest, candidate.backOffMillis());
      }
    }
    return shortest == Long.MAX_VALUE ? 0 : shortest;
  }
}
