package verbenahatch.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import verbenahatch.http.ResponseStatus;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.routing.TargetState;

/**
 * Collects the load and health reports of targets.
 *
 * <p>Targets report their load in each response. The load and health endpoints of targets in the
 * region of this host, and of other targets with requests in flight, are polled once a second.
 * Missing and wrong reports only make the choice of a target less exact.
 */
final class LoadReports {

  /** Header field with the number of requests in flight at a target, in its responses. */
  static final String LOAD = "Verbenahatch-Load";

  private static final long POLL_PERIOD_NANOS = 1_000_000_000L;
  private static final long POLL_TIMEOUT_MILLIS = 500;
  private static final int MAX_BODY_BYTES = 4_096;

  private final GatewayContext context;
  private final Targets targets;
  private final TargetClient client;
  private long lastPollNanos;

  LoadReports(GatewayContext context, Targets targets, TargetClient client) {
    this.context = context;
    this.targets = targets;
    this.client = client;
    this.lastPollNanos = context.clock().nanoTime() - POLL_PERIOD_NANOS;
  }

  /** Records the load report in a response, if there is one. */
  static void recordFromResponse(HttpFields headers, TargetState state, long nowNanos) {
    long inFlight = headers.getLongField(LOAD);
    if (inFlight >= 0) {
      state.recordLoadReport(inFlight, nowNanos);
    }
  }

  /** Polls the targets if a period has passed. Must be called by one thread at a time. */
  void tick() {
    long nowNanos = context.clock().nanoTime();
    if (nowNanos - lastPollNanos < POLL_PERIOD_NANOS) {
      return;
    }
    lastPollNanos = nowNanos;
    for (ServiceTargets service : targets.services()) {
      for (TargetState state : service.allTargets()) {
        boolean inOwnRegion = state.target().region().equals(context.settings().region());
        if (inOwnRegion || state.inFlight() > 0) {
          pollLoad(state, nowNanos);
          pollHealth(state);
        }
      }
    }
  }

  private void pollLoad(TargetState state, long nowNanos) {
    poll(
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
                state.recordLoadReport(inFlight.asLong(), nowNanos);
              }
            } catch (JsonException e) {
              // A malformed report is ignored.
            }
          }
        });
  }

  private void pollHealth(TargetState state) {
    poll(
        state,
        "/health",
        new BufferingResponseListener(MAX_BODY_BYTES) {
          @Override
          public void onComplete(Result result) {
            // A missing response is ignored: the endpoint may be slow while the target works.
            if (result.isSucceeded()) {
              int status = result.getResponse().getStatus();
              state.recordHealthReport(!ResponseStatus.isFinal(status) || status >= 500);
            }
          }
        });
  }

  private void poll(TargetState state, String path, BufferingResponseListener listener) {
    Target target = state.target();
    client
        .pollClient()
        .newRequest(target.address(), target.port())
        .path(path)
        .timeout(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(listener);
  }
}
