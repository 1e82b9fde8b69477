package verbenahatch.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.routing.TargetState;

/**
 * Gathers what targets say about their load and health.
 *
 * <p>Targets that answer requests report with each answer. The load and health endpoints of targets
 * in the own region, and of others in use, are asked once a second. Missing and wrong reports only
 * make the choice less exact.
 */
final class LoadReports {

  /** The number of requests in flight at a target, in its answers. */
  static final String LOAD = "Verbenahatch-Load";

  private static final long PERIOD_NANOS = 1_000_000_000L;
  private static final long TIMEOUT_MILLIS = 500;
  private static final int MAX_BODY_BYTES = 4_096;

  private final GatewayContext context;
  private final Targets targets;
  private final TargetClient client;
  private long lastNanos;

  LoadReports(GatewayContext context, Targets targets, TargetClient client) {
    this.context = context;
    this.targets = targets;
    this.client = client;
    this.lastNanos = context.clock().nanoTime() - PERIOD_NANOS;
  }

  /** Takes the report in an answer, if there is one. */
  static void fromAnswer(HttpFields headers, TargetState state, long nowNanos) {
    long inFlight = headers.getLongField(LOAD);
    if (inFlight >= 0) {
      state.recordLoadReport(inFlight, nowNanos);
    }
  }

  /** Asks the targets if a period is over. Called by one thread at a time. */
  void tick() {
    long now = context.clock().nanoTime();
    if (now - lastNanos < PERIOD_NANOS) {
      return;
    }
    lastNanos = now;
    for (ServiceTargets service : targets.services()) {
      for (TargetState state : service.all()) {
        boolean near = state.target().region().equals(context.settings().region());
        if (near || state.inFlight() > 0) {
          askLoad(state, now);
          askHealth(state);
        }
      }
    }
  }

  private void askLoad(TargetState state, long now) {
    ask(
        state,
        "/load",
        new BufferingResponseListener(MAX_BODY_BYTES) {
          @Override
          public void onComplete(Result result) {
            if (result.isFailed() || result.getResponse().getStatus() != 200) {
              return;
            }
            try {
              JsonNode inFlight = Json.readTree(getContent()).path("inFlight");
              if (inFlight.canConvertToLong()) {
                state.recordLoadReport(inFlight.asLong(), now);
              }
            } catch (JsonException e) {
              // An unreadable report counts as none.
            }
          }
        });
  }

  private void askHealth(TargetState state) {
    ask(
        state,
        "/health",
        new BufferingResponseListener(MAX_BODY_BYTES) {
          @Override
          public void onComplete(Result result) {
            // No answer says nothing: the endpoint may lag while the target works.
            if (result.isSucceeded()) {
              state.recordHealthReport(result.getResponse().getStatus() >= 500);
            }
          }
        });
  }

  private void ask(TargetState state, String path, BufferingResponseListener listener) {
    Target target = state.target();
    client
        .client(false)
        .newRequest(target.address(), target.port())
        .path(path)
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(listener);
  }
}
