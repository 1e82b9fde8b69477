package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.HostRecord;

/** Guards against zones in which no host, or every host, reads the store. */
class FeedRelaysTest {

  private final ManualClock clock = new ManualClock();
  private boolean storeFailed;

  private static String name(int host) {
    return String.format(java.util.Locale.ROOT, "h%03d", host);
  }

  /** Creates the table of a host in a fleet whose hosts are spread over regions a, b and c. */
  private HostTable table(int own, int hosts) {
    String region = region(own);
    HostTable table =
        new HostTable(clock, Events.none(), Samples.settings(name(own), region), "i" + own);
    Map<String, HostRecord> records = new HashMap<>();
    for (int i = 0; i < hosts; i++) {
      records.put(name(i), Samples.host(name(i), region(i)));
    }
    table.register(records);
    return table;
  }

  private static String region(int host) {
    return java.util.List.of("a", "b", "c").get(host % 3);
  }

  private static HostBeat.Builder heartbeat(int host) {
    return HostBeat.newBuilder()
        .setHost(name(host))
        .setIncarnation("i" + host)
        .setSequence(1)
        .setRegion(region(host))
        .setZone(region(host) + "1")
        .setPeerAddress("10.0.0." + host + ":7")
        .setStoreReachable(true);
  }

  private FeedRelays relays(HostTable table, int own) {
    return new FeedRelays(table, Samples.settings(name(own), region(own)), () -> storeFailed);
  }

  @Test
  void hostOfSmallFleetReadsTheStore() {
    HostTable table = table(8, 9);
    table.receive(heartbeat(2).build());
    assertNull(relays(table, 8).relay());
  }

  @Test
  void firstHostOfTheZoneIsTheRelay() {
    HostTable table = table(20, 30);
    table.receive(heartbeat(5).build());
    table.receive(heartbeat(8).build());
    table.receive(heartbeat(4).build());
    assertEquals("10.0.0.5:7", relays(table, 20).relay());
  }

  @Test
  void hostThatLostTheStoreOrLeavesIsNotTheRelay() {
    HostTable table = table(20, 30);
    table.receive(heartbeat(5).setStoreReachable(false).build());
    table.receive(heartbeat(8).setLeaving(true).build());
    table.receive(heartbeat(11).build());
    assertEquals("10.0.0.11:7", relays(table, 20).relay());
  }

  @Test
  void firstHostReadsTheStoreItself() {
    HostTable table = table(5, 30);
    table.receive(heartbeat(8).build());
    FeedRelays relays = relays(table, 5);
    assertNull(relays.relay());
    storeFailed = true;
    assertEquals("10.0.0.8:7", relays.relay());
  }

  /** Two hosts that follow each other would treat old objects as new ones. */
  @Test
  void substituteReadsFromTheStoreItself() {
    HostTable table = table(8, 9);
    table.receive(heartbeat(2).build());
    FeedRelays relays = relays(table, 8);
    assertNull(relays.substitute());
    table.receive(heartbeat(3).setReadsStore(true).build());
    table.receive(heartbeat(5).setReadsStore(true).build());
    assertEquals("10.0.0.5:7", relays.substitute());
  }
}
