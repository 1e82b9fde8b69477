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

/** State that all requests on this host share: routes, targets, queues, limits on retries. */
final class DataPath {

  /** Retries allowed per request, averaged over time. */
  private static final double RETRY_RATIO = 0.1;

  /** Retries that may be sent in a burst after a period without retries. */
  private static final int RETRY_BURST = 10;

  private final GatewayContext context;
  private final TargetClient client;
  private final Targets targets;
  private final SlotQueues queues;
  private final Scheduler timer;
  private final Submissions submissions;
  private final RetryBudget retries = new RetryBudget(RETRY_RATIO, RETRY_BURST);
  private final InFlightRequests inFlight = new InFlightRequests();
  private final Counter requests;
  private final Counter refusals;
  private volatile Map<String, Double> weights = Map.of();
  private volatile RouteTable routes = new RouteTable(List.of());
  private volatile @Nullable DrainPlan drainPlan;

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
    this.queues = new SlotQueues(context.clock(), this::weight);
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
    Map<String, Double> weightsByWorkspace = new HashMap<>();
    for (Workspace workspace : document.workspaces()) {
      weightsByWorkspace.put(workspace.name(), workspace.weight());
    }
    weights = Map.copyOf(weightsByWorkspace);
    routes = new RouteTable(document.routes());
  }

  private double weight(String workspace) {
    return weights.getOrDefault(workspace, 1.0);
  }

  /** Retries the slot search of waiting requests and refuses those whose time has expired. */
  void tick() {
    queues.tick();
  }

  void handle(Request request, Response response, Callback callback) {
    inFlight.increment();
    requests.inc();
    retries.onRequest();
    new Exchange(this, request, response, callback).start();
  }

  /** Returns a callback that also counts the request as no longer in flight. */
  Callback countingCompletion(Callback callback) {
    return Callback.from(callback, inFlight::decrement);
  }

  void countRefusal(@Nullable Route route, Refusal refusal) {
    refusals.labelValues(refusal.code(), route == null ? "" : route.name()).inc();
  }

  /** Begins a drain, which restricts the attempts that may begin. */
  void drain(DrainPlan plan) {
    drainPlan = plan;
  }

  /** Returns whether an attempt of a request with a deadline, in ns, may begin. */
  boolean mayBegin(long deadlineNanos) {
    DrainPlan plan = drainPlan;
    return plan == null || plan.mayBegin(deadlineNanos);
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

  SlotQueues queues() {
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

  InFlightRequests inFlight() {
    return inFlight;
  }
}
