package verbenahatch.steering;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;

/** Holds the metrics of the request path. */
final class SteeringMetrics {

  final Counter requests;
  final Counter attempts;
  final Counter unanswered;
  final Counter responses;
  final Counter retries;
  final Counter admissions;
  final Counter runs;
  final Counter objectMoves;
  final Histogram requestSeconds;

  /**
   * Registers the metrics.
   *
   * @param registry the registry of the process
   * @param erasSeen returns the number of eras of the store that were seen
   */
  SteeringMetrics(PrometheusRegistry registry, LongSupplier erasSeen) {
    CounterWithCallback.builder()
        .name("verbenahatch_steering_store_eras_total")
        .help("Eras of the store that this process has seen; above 1 after a restore.")
        .callback(callback -> callback.call(erasSeen.getAsLong()))
        .register(registry);
    requests =
        Counter.builder()
            .name("verbenahatch_steering_requests_total")
            .help("Requests of callers by outcome.")
            .labelNames("outcome")
            .register(registry);
    attempts =
        Counter.builder()
            .name("verbenahatch_steering_attempts_total")
            .help("Requests sent to targets by service and outcome.")
            .labelNames("service", "outcome")
            .register(registry);
    unanswered =
        Counter.builder()
            .name("verbenahatch_steering_attempts_unanswered_total")
            .help("Requests sent to targets without a valid response, by what ended the attempt.")
            .labelNames("service", "ended_by")
            .register(registry);
    responses =
        Counter.builder()
            .name("verbenahatch_steering_responses_total")
            .help("Complete responses of targets, by how their end was recognised.")
            .labelNames("service", "framing")
            .register(registry);
    retries =
        Counter.builder()
            .name("verbenahatch_steering_retries_total")
            .help("Requests sent to a further target, and those that the budget left out.")
            .labelNames("service", "outcome")
            .register(registry);
    admissions =
        Counter.builder()
            .name("verbenahatch_steering_admissions_total")
            .help("Requests by the decision about the rate of their workspace.")
            .labelNames("decision")
            .register(registry);
    runs =
        Counter.builder()
            .name("verbenahatch_steering_runs_total")
            .help(
                "Successful requests for objects, by route and by whether they took as long as for"
                    + " an object in the cache of the target or longer.")
            .labelNames("service", "route", "cache")
            .register(registry);
    objectMoves =
        Counter.builder()
            .name("verbenahatch_steering_object_moves_total")
            .help(
                "Successful requests for objects, by whether the last one of this host for the"
                    + " object ran at the same target.")
            .labelNames("service", "move")
            .register(registry);
    requestSeconds =
        Histogram.builder()
            .name("verbenahatch_steering_request_seconds")
            .help("Time from the first byte of a request to its answer.")
            .classicOnly()
            .classicUpperBounds(.05, .1, .2, .4, .8, 1.6, 3.2, 6.4)
            .register(registry);
  }

  /** Counts a request of a caller by its outcome, and the time in ms until its response. */
  void recordRequest(String outcome, double millis) {
    requests.labelValues(outcome).inc();
    requestSeconds.observe(millis / 1_000);
  }
}
