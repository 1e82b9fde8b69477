package verbenahatch.limits;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/** Counts the decisions of another {@link Limits} by kind of limit and outcome. Thread-safe. */
final class MeteredLimits implements Limits {

  private enum Outcome {
    ADMITTED,
    OVER_LIMIT,
    NOT_FRESH,
    UNKNOWN
  }

  private final Limits limits;
  private final Map<LimitKind, Map<Outcome, CounterDataPoint>> decisions =
      new EnumMap<>(LimitKind.class);
  private final Map<LimitKind, CounterDataPoint> waits = new EnumMap<>(LimitKind.class);

  MeteredLimits(Limits limits, PrometheusRegistry registry) {
    this.limits = limits;
    Counter decided =
        Counter.builder()
            .name("verbenahatch_limit_decisions")
            .help("Decisions about work under shared limits")
            .labelNames("kind", "outcome")
            .register(registry);
    Counter waited =
        Counter.builder()
            .name("verbenahatch_limit_waits")
            .help("Requests that waited for a share before the decision")
            .labelNames("kind")
            .register(registry);
    for (LimitKind kind : LimitKind.values()) {
      Map<Outcome, CounterDataPoint> byOutcome = new EnumMap<>(Outcome.class);
      for (Outcome outcome : Outcome.values()) {
        byOutcome.put(outcome, decided.labelValues(label(kind), label(outcome)));
      }
      decisions.put(kind, byOutcome);
      waits.put(kind, waited.labelValues(label(kind)));
    }
  }

  private static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  @Override
  public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
    return count(LimitKind.REQUESTS, limits.admit(workspace, deadlineNanos));
  }

  @Override
  public CompletableFuture<Admission> enterRegion(String region, long deadlineNanos) {
    return count(LimitKind.SLOTS, limits.enterRegion(region, deadlineNanos));
  }

  @Override
  public void leaveRegion(String region) {
    limits.leaveRegion(region);
  }

  @Override
  public CompletableFuture<Admission> takeLinkBytes(
      String from, String to, long bytes, long deadlineNanos) {
    return count(LimitKind.BYTES, limits.takeLinkBytes(from, to, bytes, deadlineNanos));
  }

  @Override
  public double linkHeadroom(String from, String to) {
    return limits.linkHeadroom(from, to);
  }

  private CompletableFuture<Admission> count(
      LimitKind kind, CompletableFuture<Admission> admission) {
    if (admission.isDone()) {
      count(kind, admission.join());
      return admission;
    }
    point(waits, kind).inc();
    return admission.whenComplete(
        (decided, failure) -> {
          if (decided != null) {
            count(kind, decided);
          }
        });
  }

  private void count(LimitKind kind, Admission admission) {
    Outcome outcome;
    if (admission instanceof Admission.Admitted) {
      outcome = Outcome.ADMITTED;
    } else if (admission instanceof Admission.OverLimit) {
      outcome = Outcome.OVER_LIMIT;
    } else if (admission instanceof Admission.NotFresh) {
      outcome = Outcome.NOT_FRESH;
    } else {
      outcome = Outcome.UNKNOWN;
    }
    point(point(decisions, kind), outcome).inc();
  }

  private static <K, V> V point(Map<K, V> points, K key) {
    return Objects.requireNonNull(points.get(key));
  }
}
