package verbenahatch.steering;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;

/** Holds the document that applies to one request, its route there and the workspace of its key. */
final class RequestScope {

  private final @Nullable String host;
  private final @Nullable String path;
  private final @Nullable String key;
  private volatile @Nullable DocumentIndex document;
  private volatile @Nullable SteeringRoute route;
  private volatile @Nullable SteeringWorkspace workspace;

  /**
   * Creates a scope without a route.
   *
   * @param host the host that the request names, null if it names none
   * @param path the path of the request, null if it has none
   * @param key the key of the request, null if it has none
   * @param document the document in force, null if there is none
   */
  RequestScope(
      @Nullable String host,
      @Nullable String path,
      @Nullable String key,
      @Nullable DocumentIndex document) {
    this.host = host;
    this.path = path;
    this.key = key;
    this.document = document;
  }

  /**
   * Looks for the route in the document.
   *
   * @return whether one matches the request
   * @throws IllegalStateException if there is no document
   */
  boolean match() {
    route = routeIn(document());
    return route != null;
  }

  void setWorkspace(SteeringWorkspace keyWorkspace) {
    workspace = keyWorkspace;
  }

  /**
   * Applies a newer document that came into force while the request waited for its body, its
   * admission or another attempt.
   *
   * @param current the document in force, null if there is none
   * @return why the request is no longer allowed, null if it is
   */
  @Nullable RefusalReason refresh(@Nullable DocumentIndex current) {
    if (current == null || current == document) {
      return null;
    }
    SteeringRoute currentRoute = routeIn(current);
    if (currentRoute == null) {
      return RefusalReason.NO_ROUTE;
    }
    if (!CallerAdmission.isKeyValid(current, currentRoute, key)) {
      return RefusalReason.BAD_KEY;
    }
    document = current;
    route = currentRoute;
    workspace = key == null || currentRoute.open() ? null : current.workspace(key);
    return null;
  }

  private @Nullable SteeringRoute routeIn(DocumentIndex index) {
    return path == null || host == null ? null : index.route(host.toLowerCase(Locale.ROOT), path);
  }

  /** Returns whether the request has a host and a path. */
  boolean hasAddress() {
    return host != null && path != null;
  }

  /** Returns host and path, for the log. */
  String address() {
    return host + path;
  }

  boolean hasDocument() {
    return document != null;
  }

  /**
   * Returns the document.
   *
   * @throws IllegalStateException if there is none
   */
  DocumentIndex document() {
    DocumentIndex current = document;
    if (current == null) {
      throw new IllegalStateException("no document yet");
    }
    return current;
  }

  /**
   * Returns the route.
   *
   * @throws IllegalStateException if none matched
   */
  SteeringRoute route() {
    SteeringRoute current = route;
    if (current == null) {
      throw new IllegalStateException("no route yet");
    }
    return current;
  }

  boolean hasRoute() {
    return route != null;
  }

  /** Returns the workspace, null for an open route or before the key was checked. */
  @Nullable SteeringWorkspace workspace() {
    return workspace;
  }

  /** Returns the name of the route, "-" if there is none. */
  String routeName() {
    SteeringRoute current = route;
    return current == null ? "-" : current.name();
  }

  /** Returns the name of the workspace, "-" if there is none. */
  String workspaceName() {
    SteeringWorkspace current = workspace;
    return current == null ? "-" : current.name();
  }

  /** Returns the version of the document, 0 if there is none. */
  long documentVersion() {
    DocumentIndex current = document;
    return current == null ? 0 : current.document.version();
  }

  /**
   * Holds how a request ended.
   *
   * @param id the caller's id of the request
   * @param outcome the outcome as in the metrics
   * @param status the status of the response, 0 if there was none
   * @param reason the reason in words, may be empty
   */
  record Outcome(String id, String outcome, int status, String reason) {}

  /**
   * Holds what a request has cost.
   *
   * @param attempts the number of attempts
   * @param lastAttempt the last attempt, null if there was none
   * @param elapsedMillis the time in ms since its head was read
   * @param remainingMillis the time in ms until its deadline, -1 if it has none
   */
  record Effort(
      int attempts,
      @Nullable TargetAttempt lastAttempt,
      long elapsedMillis,
      long remainingMillis) {}

  /** Logs how the request ended. */
  void logOutcome(RequestLog log, Outcome outcome, Effort effort) {
    TargetAttempt attempt = effort.lastAttempt;
    log.log(
        SteeringEvent.REQUEST,
        outcome.id,
        routeName(),
        workspaceName(),
        outcome.outcome,
        outcome.status,
        effort.attempts,
        attempt == null ? "-" : attempt.choice.target().record().id(),
        effort.elapsedMillis,
        effort.remainingMillis,
        documentVersion(),
        outcome.reason);
  }
}
