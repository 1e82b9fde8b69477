package verbenahatch.steering;

import java.util.HashSet;
import java.util.Set;
import verbenahatch.kernel.Hashing;
import verbenahatch.steering.ReleaseTable.VersionRule;
import verbenahatch.steering.TargetSelector.Criteria;
import verbenahatch.steering.TargetSelector.Outcome;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.WireProtocol.CallerRequest;

/** Chooses the targets of the attempts of one request. Not thread-safe. */
final class RequestTargets {

  private final EntryContext context;
  private final RequestScope scope;
  private final CallerRequest caller;
  private final Set<Target> attempted = new HashSet<>();
  private long objectHash;

  RequestTargets(EntryContext context, RequestScope scope, CallerRequest caller) {
    this.context = context;
    this.scope = scope;
    this.caller = caller;
  }

  /**
   * Chooses a target to which the request was not sent yet.
   *
   * @param targets the targets of its service
   * @param versionRule the versions that it may use
   * @param bodyBytes the length of its body in bytes
   * @param elapsedMillis the time in ms since its head was read
   * @param remainingMillis the time in ms until its deadline
   */
  Outcome choose(
      ServiceTargets targets,
      VersionRule versionRule,
      long bodyBytes,
      double elapsedMillis,
      long remainingMillis) {
    SteeringRoute route = scope.route();
    String objectKey = caller.objectKey();
    objectHash =
        Hashing.of(objectKey == null ? String.valueOf(caller.id()) : objectKey + targets.name);
    Criteria criteria =
        new Criteria(
            targets,
            scope.document().document.services().get(targets.name),
            targets.times(route.name()),
            objectHash,
            objectKey != null,
            context.state.settings.region(),
            RequestPolicy.allowedRegions(route, scope.workspace()),
            bodyBytes,
            attempted,
            versionRule,
            route.targetLatencyMillis() - elapsedMillis,
            Math.min(RequestPolicy.maxLateWaitMillis(route, scope.workspace()), remainingMillis));
    return context.state.selector.choose(criteria);
  }

  /** Excludes a target, to which the request is sent, from further choices. */
  void exclude(Target target) {
    attempted.add(target);
  }

  /** Returns the hash of the object that the last choice was made for. */
  long objectHash() {
    return objectHash;
  }
}
