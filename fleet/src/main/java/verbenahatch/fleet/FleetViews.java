package verbenahatch.fleet;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import verbenahatch.kernel.Kernel;

/** Registers the state views and metrics of a node. */
final class FleetViews {

  /** The state view of membership. */
  record MembersView(
      Member self,
      long epoch,
      boolean fresh,
      long freshMillisLeft,
      String notReady,
      boolean watcher,
      boolean storeDown,
      Map<String, Double> contactAgeSeconds,
      List<Member> members) {}

  /** The state view of replicated objects and facts. */
  record SpreadView(Map<String, Long> generations, int facts, int factsNotDurable) {}

  private FleetViews() {}

  static void register(Kernel kernel, FleetNode node) {
    kernel.state().register("members", () -> members(node));
    kernel
        .state()
        .register(
            "spread",
            () -> new SpreadView(node.generations(), node.factCount(), node.factsNotDurable()));
    PrometheusRegistry metrics = kernel.metrics();
    gauge(metrics, "fresh", "1 while this host may use keys.", () -> node.isFresh() ? 1 : 0);
    gauge(metrics, "ready", "1 while this host is ready.", () -> ready(node));
    gauge(metrics, "members", "Members of the newest epoch.", () -> node.members().size());
    gauge(metrics, "members_epoch", "Newest known epoch of the members.", node::membersEpoch);
    gauge(metrics, "facts", "Facts known to this host.", node::factCount);
    gauge(metrics, "facts_not_durable", "Facts not in the store.", node::factsNotDurable);
    gauge(metrics, "store_calls", "Store calls since the start.", node::storeCalls);
    labelled(
        metrics,
        "contact_age_seconds",
        "Age of the contact with a member.",
        "host",
        node::contactAgesSeconds);
    labelled(metrics, "object_generation", "Generation in force.", "object", node::generations);
  }

  private static int ready(FleetNode node) {
    return node.notReadyReason().isEmpty() ? 1 : 0;
  }

  private static MembersView members(FleetNode node) {
    return new MembersView(
        node.self(),
        node.membersEpoch(),
        node.isFresh(),
        node.remainingFreshnessNanos() / 1_000_000,
        node.notReadyReason(),
        node.isWatcher(),
        node.isStoreDown(),
        node.contactAgesSeconds(),
        node.members());
  }

  private static void gauge(
      PrometheusRegistry metrics, String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("verbenahatch_fleet_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(metrics);
  }

  private interface Values {
    Map<String, ? extends Number> get();
  }

  private static void labelled(
      PrometheusRegistry metrics, String name, String help, String label, Values values) {
    GaugeWithCallback.builder()
        .name("verbenahatch_fleet_" + name)
        .help(help)
        .labelNames(label)
        .callback(
            callback ->
                values.get().forEach((key, value) -> callback.call(value.doubleValue(), key)))
        .register(metrics);
  }
}
