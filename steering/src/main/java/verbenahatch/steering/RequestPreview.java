package verbenahatch.steering;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.steering.ReleaseTable.VersionRule;
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
      @Nullable TargetExclusion excluded) {}

  /** Describes the response that the caller would get in place of one of a target. */
  record Refusal(String reason, int status, @Nullable String retryAfterSeconds, String detail) {}

  /**
   * Holds the result of a query; what could not be determined is null.
   *
   * @param versionRule the versions that the next request would be allowed
   * @param callerRegion the region of the caller's zone
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
      @Nullable Refusal refusal) {}

  private final SteeringState state;
  private final Query query;
  private @Nullable RouteView routeView;
  private @Nullable SteeringWorkspace workspace;
  private @Nullable QuotaView admission;
  private @Nullable VersionRule versionRule;
  private final List<Candidate> candidates = new ArrayList<>();

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
    listCandidates(service, route);
    if (notAdmitted != null) {
      return notAdmitted;
    }
    if (query.bodyBytes > index.document.limits().maxBodyBytes()) {
      return refusal(RefusalReason.BODY_TOO_LONG, "the document allows less");
    }
    return candidates.stream().allMatch(candidate -> candidate.excluded() != null)
        ? refusal(RefusalReason.NO_CAPACITY, "no usable target")
        : null;
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

  private void listCandidates(String service, SteeringRoute route) {
    VersionRule rule = state.releases.peekVersionRule(service);
    versionRule = rule;
    ServiceTargets targets = state.targets.find(service);
    if (targets == null) {
      return;
    }
    Set<String> allowedRegions = RequestPolicy.allowedRegions(route, workspace);
    long now = state.clock.nanoTime();
    long objectHash = Hashing.of(query.object + service);
    for (Target target : targets.targets) {
      boolean evacuated = state.targets.isEvacuated(target.record().zone());
      boolean owner = state.hosts.isWarmUpOwner(target.idHash, target.region);
      candidates.add(
          new Candidate(
              target.record().id(),
              target.region,
              target.record().zone(),
              target.record().version(),
              target.record().slots(),
              target.inFlight.get(),
              target.load(now),
              target.slowness(now),
              target.failureRate(now),
              target.isCold(now),
              query.object != null && target.recentObjects.contains(objectHash),
              target.backOffMillis(now),
              TargetExclusion.of(target, evacuated, allowedRegions, rule, owner, now)));
    }
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
