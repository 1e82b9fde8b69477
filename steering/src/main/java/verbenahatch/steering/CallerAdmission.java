package verbenahatch.steering;

import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.quota.Admission.Decision;

/** Checks the key of one request and whether it is inside the rate of its workspace. */
final class CallerAdmission {

  /** Takes the result. */
  interface Listener {

    /** Takes the workspace whose key came with the request, before it is decided about. */
    void holder(SteeringWorkspace holder);

    /** Called if the request may go on. */
    void admitted(DocumentIndex index);

    /** Called if it may not. */
    void refused(RefusalReason refusal, String reason);
  }

  private final EntryContext context;
  private final Request request;
  private final Listener listener;

  CallerAdmission(EntryContext context, Request request, Listener listener) {
    this.context = context;
    this.request = request;
    this.listener = listener;
  }

  /** Decides about the request, on this thread or another one. */
  void start(DocumentIndex index, SteeringRoute route, @Nullable String key) {
    if (!index.needsKeys() || route.open()) {
      listener.admitted(index);
      return;
    }
    SteeringWorkspace holder = key == null ? null : index.workspace(key);
    if (holder == null) {
      listener.refused(RefusalReason.BAD_KEY, key == null ? "no key" : "unknown key");
      return;
    }
    listener.holder(holder);
    Thread asking = Thread.currentThread();
    context.state.quotas.admit(
        holder,
        decision -> {
          if (Thread.currentThread() == asking) {
            decided(index, holder, decision);
          } else {
            // The thread of the link between hosts must not do the work of requests.
            request.getComponents().getExecutor().execute(() -> resume(index, holder, decision));
          }
        });
  }

  private void resume(DocumentIndex index, SteeringWorkspace holder, Decision decision) {
    try {
      decided(index, holder, decision);
    } catch (RuntimeException e) {
      context.state.events.log(SteeringEvent.TASK_FAILED, "request", e.toString());
      listener.refused(RefusalReason.INTERNAL, e.toString());
    }
  }

  private void decided(DocumentIndex index, SteeringWorkspace holder, Decision decision) {
    context.metrics.admissions.labelValues(decision.name()).inc();
    if (decision.isAdmitted()) {
      listener.admitted(index);
    } else {
      listener.refused(RefusalReason.OVER_QUOTA, decision + ", rate " + holder.ratePerSecond());
    }
  }
}
