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

  /** Counts of one kind, as the state dump shows them. */
  record Traffic(long messagesIn, long bytesIn, long messagesOut, long bytesOut) {}

  private record Points(
      CounterDataPoint messagesIn,
      CounterDataPoint bytesIn,
      CounterDataPoint messagesOut,
      CounterDataPoint bytesOut) {}

  private final Counter messages;
  private final Counter bytes;
  private final Counter closed;
  private final Map<MessageKind, Points> kinds = new EnumMap<>(MessageKind.class);
  private final Points handshake;

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
      kinds.put(kind, points(kind.name().toLowerCase(Locale.ROOT)));
    }
    this.handshake = points("handshake");
  }

  private Points points(String kind) {
    return new Points(
        messages.labelValues(kind, "in"),
        bytes.labelValues(kind, "in"),
        messages.labelValues(kind, "out"),
        bytes.labelValues(kind, "out"));
  }

  void countIn(@Nullable MessageKind kind, int frameBytes) {
    Points points = find(kind);
    points.messagesIn.inc();
    points.bytesIn.inc(frameBytes);
  }

  void countOut(@Nullable MessageKind kind, int frameBytes) {
    Points points = find(kind);
    points.messagesOut.inc();
    points.bytesOut.inc(frameBytes);
  }

  /** Counts a handshake, or a frame of a kind that this version does not know, under no kind. */
  private Points find(@Nullable MessageKind kind) {
    Points points = kind == null ? null : kinds.get(kind);
    return points == null ? handshake : points;
  }

  void countClosed(String reason) {
    closed.labelValues(reason).inc();
  }

  long closed(String reason) {
    return (long) closed.labelValues(reason).get();
  }

  Map<String, Traffic> traffic() {
    Map<String, Traffic> traffic = new TreeMap<>();
    kinds.forEach((kind, points) -> traffic.put(kind.name(), read(points)));
    traffic.put("HANDSHAKE", read(handshake));
    return traffic;
  }

  private static Traffic read(Points points) {
    return new Traffic(
        (long) points.messagesIn.get(),
        (long) points.bytesIn.get(),
        (long) points.messagesOut.get(),
        (long) points.bytesOut.get());
  }
}
