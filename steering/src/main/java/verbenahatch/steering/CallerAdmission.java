package verbenahatch.steering;

import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.quota.Admission.Decision;

/** Checks the key of one request and the quota of its workspace. */
final class CallerAdmission {

  /** Receives the result. */
  interface Listener {

    /** Called with the workspace of the key before the request is admitted or refused. */
    void onWorkspace(SteeringWorkspace workspace);

    /** Called if the request is admitted. */
    void onAdmitted(DocumentIndex index);

    /** Called if the request is refused. */
    void onRefused(RefusalReason refusal, String reason);
  }

  private final EntryContext context;
  private final Request request;
  private final Listener listener;

  CallerAdmission(EntryContext context, Request request, Listener listener) {
    this.context = context;
    this.request = request;
    this.listener = listener;
  }

  /** Starts the check; the listener is called on this thread or another one. */
  void start(DocumentIndex index, SteeringRoute route, @Nullable String key) {
    if (!index.needsKeys() || route.open()) {
      listener.onAdmitted(index);
      return;
    }
    SteeringWorkspace workspace = key == null ? null : index.workspace(key);
    if (workspace == null) {
      listener.onRefused(RefusalReason.BAD_KEY, key == null ? "no key" : "unknown key");
      return;
    }
    listener.onWorkspace(workspace);
    Thread callingThread = Thread.currentThread();
    context.state.quotas.admit(
        workspace,
        decision -> {
          if (Thread.currentThread() == callingThread) {
            onDecision(index, workspace, decision);
          } else {
            // The thread of the link between hosts must not process requests.
            request
                .getComponents()
                .getExecutor()
                .execute(() -> onDecisionInExecutor(index, workspace, decision));
          }
        });
  }

  /**
   * Returns whether a document allows requests of a route with a key.
   *
   * @param index the document
   * @param route the route of the request in that document
   * @param key the key of the request, null if it has none
   */
  static boolean isKeyValid(DocumentIndex index, SteeringRoute route, @Nullable String key) {
    return !index.needsKeys() || route.open() || (key != null && index.workspace(key) != null);
  }

  private void onDecisionInExecutor(
      DocumentIndex index, SteeringWorkspace workspace, Decision decision) {
    try {
      onDecision(index, workspace, decision);
    } catch (RuntimeException e) {
      context.state.events.log(SteeringEvent.TASK_FAILED, "request", e.toString());
      listener.onRefused(RefusalReason.INTERNAL, e.toString());
    }
  }

  private void onDecision(DocumentIndex index, SteeringWorkspace workspace, Decision decision) {
    context.metrics.admissions.labelValues(decision.name()).inc();
    if (decision.isAdmitted()) {
      listener.onAdmitted(index);
    } else {
      listener.onRefused(
          RefusalReason.OVER_QUOTA, decision + ", rate " + workspace.ratePerSecond());
    }
  }
}
