package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.peer.generated.HostBeat;

/** Guards against failed hosts that count as alive, and live hosts that count as timed out. */
class HostTableTest {

  private final ManualClock clock = new ManualClock();
  private final HostTable hosts =
      new HostTable(clock, Events.none(), Samples.settings("h5"), "self");

  private static HostBeat heartbeat(String host, String incarnation, long sequence) {
    return HostBeat.newBuilder()
        .setHost(host)
        .setIncarnation(incarnation)
        .setSequence(sequence)
        .setReady(true)
        .setStoreReachable(true)
        .build();
  }

  @Test
  void hostIsAliveWhileHeartbeatsArrive() {
    hosts.receive(heartbeat("h1", "x", 1));
    assertEquals(1, hosts.live().size());
    clock.advance(Duration.ofMillis(5 * FleetTopology.MIN_HEARTBEAT_MILLIS));
    assertEquals(0, hosts.live().size());
  }

  /** A record alone does not show that a host is alive, but the host counts in divided totals. */
  @Test
  void registeredHostCountsWithoutHeartbeats() {
    hosts.register(Map.of("h1", Samples.host("h1", "a"), "h5", Samples.host("h5", "a")));
    assertEquals(2, hosts.count());
    assertTrue(hosts.live().isEmpty());
  }

  @Test
  void olderHeartbeatOfTheSameProcessIsDropped() {
    hosts.receive(heartbeat("h1", "x", 7));
    hosts.receive(heartbeat("h1", "x", 6));
    assertEquals(7, hosts.live().get(0).getSequence());
    hosts.receive(heartbeat("h1", "y", 1));
    assertEquals("y", hosts.live().get(0).getIncarnation());
  }

  @ParameterizedTest
  @CsvSource({"h1, true, false", "h9, true, true", "h9, false, false"})
  void lowestNameThatReachesTheStoreIsLeader(String other, boolean store, boolean isLeader) {
    hosts.receive(heartbeat(other, "x", 1));
    assertEquals(isLeader, hosts.isLeader(store));
  }

  @Test
  void timedOutHostIsReturnedAfterTheLimit() {
    hosts.register(Map.of("h1", Samples.host("h1", "a"), "h5", Samples.host("h5", "a")));
    assertTrue(hosts.hostsWithoutHeartbeat(20_000, clock.nanoTime()).isEmpty());
    long start = clock.nanoTime();
    clock.advance(Duration.ofSeconds(21));
    assertEquals(List.of("h1"), hosts.hostsWithoutHeartbeat(20_000, start));
    assertFalse(hosts.hostsWithoutHeartbeat(20_000, start).contains("h5"));
  }
}
