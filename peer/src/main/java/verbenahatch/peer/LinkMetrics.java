package verbenahatch.peer;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Counts messages and bytes per kind and direction, and connections closed per reason. */
final class LinkMetrics {

  /** Totals of one kind of message, as the state dump shows them. */
  record Traffic(long messagesIn, long bytesIn, long messagesOut, long bytesOut) {}

  private record KindCounters(
      CounterDataPoint messagesIn,
      CounterDataPoint bytesIn,
      CounterDataPoint messagesOut,
      CounterDataPoint bytesOut) {}

  private final Counter messages;
  private final Counter bytes;
  private final Counter closed;
  private final Map<MessageKind, KindCounters> countersByKind = new EnumMap<>(MessageKind.class);
  private final KindCounters handshake;

  LinkMetrics(PrometheusRegistry registry) {
    this.messages =
        Counter.builder()
            .name("verbenahatch_peer_messages_total")
            .help("Requests and answers between hosts")
            .labelNames("kind", "direction")
            .register(registry);
    this.bytes =
        Counter.builder()
            .name("verbenahatch_peer_bytes_total")
            .help("Bytes of frames between hosts, with their length prefix")
            .labelNames("kind", "direction")
            .register(registry);
    this.closed =
        Counter.builder()
            .name("verbenahatch_peer_connections_closed_total")
            .help("Connections that this host closed because of a fault")
            .labelNames("reason")
            .register(registry);
    for (MessageKind kind : MessageKind.values()) {
      countersByKind.put(kind, countersOf(kind.name().toLowerCase(Locale.ROOT)));
    }
    this.handshake = countersOf("handshake");
  }

  private KindCounters countersOf(String kind) {
    return new KindCounters(
        messages.labelValues(kind, "in"),
        bytes.labelValues(kind, "in"),
        messages.labelValues(kind, "out"),
        bytes.labelValues(kind, "out"));
  }

  void countIn(@Nullable MessageKind kind, int frameBytes) {
    KindCounters counters = find(kind);
    counters.messagesIn.inc();
    counters.bytesIn.inc(frameBytes);
  }

  void countOut(@Nullable MessageKind kind, int frameBytes) {
    KindCounters counters = find(kind);
    counters.messagesOut.inc();
    counters.bytesOut.inc(frameBytes);
  }

  /**
   * Returns the counters of a kind. Handshakes have no kind (null); frames of a kind that this
   * version does not know are counted with them.
   */
  private KindCounters find(@Nullable MessageKind kind) {
    KindCounters counters = kind == null ? null : countersByKind.get(kind);
    return counters == null ? handshake : counters;
  }

  void countClosed(String reason) {
    closed.labelValues(reason).inc();
  }

  long closed(String reason) {
    return (long) closed.labelValues(reason).get();
  }

  Map<String, Traffic> traffic() {
    Map<String, Traffic> traffic = new TreeMap<>();
    countersByKind.forEach((kind, counters) -> traffic.put(kind.name(), toTraffic(counters)));
    traffic.put("HANDSHAKE", toTraffic(handshake));
    return traffic;
  }

  private static Traffic toTraffic(KindCounters counters) {
    return new Traffic(
        (long) counters.messagesIn.get(),
        (long) counters.bytesIn.get(),
        (long) counters.messagesOut.get(),
        (long) counters.bytesOut.get());
  }
}
