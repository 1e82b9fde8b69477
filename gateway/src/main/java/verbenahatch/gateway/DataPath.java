package verbenahatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Route;
import verbenahatch.routing.RetryBudget;

/** Holds what all requests of this host share. */
final class DataPath {

  /** Retries per request. */
  private static final double RETRY_RATIO = 0.1;

  /** Retries that may follow each other at once after a quiet time. */
  private static final int RETRY_RESERVE = 10;

  private final GatewayContext context;
  private final TargetClient client;
  private final TargetDirectory targets;
  private final RetryBudget retries = new RetryBudget(RETRY_RATIO, RETRY_RESERVE);
  private final RunningRequests running = new RunningRequests();
  private final Counter requests;
  private final Counter refusals;
  private volatile RouteTable routes = new RouteTable(List.of());

  DataPath(GatewayContext context, TargetClient client, PrometheusRegistry metrics) {
    this.context = context;
    this.client = client;
    this.targets = new TargetDirectory(context.settings().region());
    this.requests =
        Counter.builder()
            .name("verbenahatch_gateway_requests_total")
            .help("Requests from callers.")
            .register(metrics);
    this.refusals =
        Counter.builder()
            .name("verbenahatch_gateway_refusals_total")
            .help("Requests answered by the gateway in place of a target.")
            .labelNames("code", "route")
            .register(metrics);
    context.config().document().ifPresent(this::update);
    context.config().onChange(this::update);
  }

  private void update(EnvironmentDocument document) {
    targets.update(document);
    routes = new RouteTable(document.routes());
  }

  void handle(Request request, Response response, Callback callback) {
    running.enter();
    requests.inc();
    retries.onRequest();
    new Exchange(this, request, response, callback).start();
  }

  /** Returns a callback that also counts the request as ended. */
  Callback leaving(Callback callback) {
    return Callback.from(callback, running::leave);
  }

  void count(@Nullable Route route, Refusal refusal) {
    refusals.labelValues(refusal.code(), route == null ? "" : route.name()).inc();
  }

  GatewayContext context() {
    return context;
  }

  TargetClient client() {
    return client;
  }

  TargetDirectory targets() {
    return targets;
  }

  RouteTable routes() {
    return routes;
  }

  RetryBudget retries() {
    return retries;
  }

  RunningRequests running() {
    return running;
  }
}
