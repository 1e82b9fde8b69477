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

/** Guards against dead hosts that are taken for living ones, and the reverse. */
class HostTableTest {

  private final ManualClock clock = new ManualClock();
  private final HostTable hosts =
      new HostTable(clock, Events.none(), Samples.settings("h5"), "self");

  private static HostBeat beat(String host, String incarnation, long sequence) {
    return HostBeat.newBuilder()
        .setHost(host)
        .setIncarnation(incarnation)
        .setSequence(sequence)
        .setReady(true)
        .setStoreReachable(true)
        .build();
  }

  @Test
  void hostLivesWhileItsBeatsArrive() {
    hosts.receive(beat("h1", "x", 1));
    assertEquals(1, hosts.live().size());
    clock.advance(Duration.ofMillis(5 * FleetTopology.MIN_BEAT_MILLIS));
    assertEquals(0, hosts.live().size());
  }

  /** A record alone proves nothing, but its host counts when totals are divided. */
  @Test
  void registeredHostCountsWithoutBeats() {
    hosts.register(Map.of("h1", Samples.host("h1", "a"), "h5", Samples.host("h5", "a")));
    assertEquals(2, hosts.count());
    assertTrue(hosts.live().isEmpty());
  }

  @Test
  void olderBeatOfTheSameProcessIsDropped() {
    hosts.receive(beat("h1", "x", 7));
    hosts.receive(beat("h1", "x", 6));
    assertEquals(7, hosts.live().get(0).getSequence());
    hosts.receive(beat("h1", "y", 1));
    assertEquals("y", hosts.live().get(0).getIncarnation());
  }

  @ParameterizedTest
  @CsvSource({"h1, true, false", "h9, true, true", "h9, false, false"})
  void lowestNameThatReachesTheStoreLeads(String other, boolean store, boolean leads) {
    hosts.receive(beat(other, "x", 1));
    assertEquals(leads, hosts.leads(store));
  }

  @Test
  void silentHostIsNamedAfterTheTime() {
    hosts.register(Map.of("h1", Samples.host("h1", "a"), "h5", Samples.host("h5", "a")));
    assertTrue(hosts.silentFor(20_000, clock.nanoTime()).isEmpty());
    long start = clock.nanoTime();
    clock.advance(Duration.ofSeconds(21));
    assertEquals(List.of("h1"), hosts.silentFor(20_000, start));
    assertFalse(hosts.silentFor(20_000, start).contains("h5"));
  }
}
