package verbenahatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Route;
import verbenahatch.model.EnvironmentDocument.Workspace;
import verbenahatch.routing.RetryBudget;

/** Holds what all requests of this host share. */
final class DataPath {

  /** Retries per request. */
  private static final double RETRY_RATIO = 0.1;

  /** Retries that may follow each other at once after a quiet time. */
  private static final int RETRY_RESERVE = 10;

  private final GatewayContext context;
  private final TargetClient client;
  private final Targets targets;
  private final PlaceQueues queues;
  private final Scheduler timer;
  private final Submissions submissions;
  private final RetryBudget retries = new RetryBudget(RETRY_RATIO, RETRY_RESERVE);
  private final RunningRequests running = new RunningRequests();
  private final Counter requests;
  private final Counter refusals;
  private volatile Map<String, Double> weights = Map.of();
  private volatile RouteTable routes = new RouteTable(List.of());

  DataPath(
      GatewayContext context,
      TargetClient client,
      Scheduler timer,
      Submissions submissions,
      PrometheusRegistry metrics) {
    this.context = context;
    this.client = client;
    this.timer = timer;
    this.submissions = submissions;
    this.targets = new Targets(context);
    this.queues = new PlaceQueues(context.clock(), this::weight);
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
    Map<String, Double> byName = new HashMap<>();
    for (Workspace workspace : document.workspaces()) {
      byName.put(workspace.name(), workspace.weight());
    }
    weights = Map.copyOf(byName);
    routes = new RouteTable(document.routes());
  }

  private double weight(String workspace) {
    return weights.getOrDefault(workspace, 1.0);
  }

  /** Lets waiting requests search again and refuses those that are late. */
  void tick() {
    queues.tick();
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

  Targets targets() {
    return targets;
  }

  PlaceQueues queues() {
    return queues;
  }

  Submissions submissions() {
    return submissions;
  }

  Scheduler timer() {
    return timer;
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
