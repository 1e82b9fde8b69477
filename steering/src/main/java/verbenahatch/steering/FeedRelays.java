package verbenahatch.steering;

import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.feed.FeedSources;
import verbenahatch.steering.model.SteeringSettings;

/**
 * Selects the hosts that read the store for others.
 *
 * <p>In a small fleet every host reads the store itself. In a large one only the first host of each
 * zone by name and the hubs do, so that the number of calls to the store grows with the number of
 * zones and not with the number of hosts. Thread-safe.
 */
final class FeedRelays implements FeedSources {

  private final HostTable hosts;
  private final SteeringSettings settings;
  private final BooleanSupplier storeFailed;

  /**
   * Creates the selection for one host.
   *
   * @param hosts the hosts that are alive
   * @param settings the settings of this host
   * @param storeFailed returns whether this host's own last call to the store failed
   */
  FeedRelays(HostTable hosts, SteeringSettings settings, BooleanSupplier storeFailed) {
    this.hosts = hosts;
    this.settings = settings;
    this.storeFailed = storeFailed;
  }

  @Override
  public @Nullable String relay() {
    if (hosts.isSmallFleet() || hosts.isHub()) {
      return null;
    }
    HostBeat firstByName = null;
    for (HostBeat heartbeat : hosts.live()) {
      boolean isCandidate = heartbeat.getStoreReachable() && !heartbeat.getLeaving();
      boolean inZone = heartbeat.getZone().equals(settings.zone());
      if (isCandidate && inZone && isBefore(heartbeat, firstByName)) {
        firstByName = heartbeat;
      }
    }
    if (firstByName == null) {
      return null;
    }
    boolean isFirstByName = settings.host().compareTo(firstByName.getHost()) < 0;
    return isFirstByName && !storeFailed.getAsBoolean() ? null : firstByName.getPeerAddress();
  }

  private static boolean isBefore(HostBeat heartbeat, @Nullable HostBeat current) {
    return current == null || heartbeat.getHost().compareTo(current.getHost()) < 0;
  }

  @Override
  public @Nullable String substitute() {
    HostBeat nearest = null;
    for (HostBeat heartbeat : hosts.live()) {
      if (!heartbeat.getReadsStore() || heartbeat.getLeaving()) {
        continue;
      }
      int comparison =
          nearest == null ? 1 : Integer.compare(proximity(heartbeat), proximity(nearest));
      if (comparison > 0 || (comparison == 0 && isBefore(heartbeat, nearest))) {
        nearest = heartbeat;
      }
    }
    return nearest == null ? null : nearest.getPeerAddress();
  }

  private int proximity(HostBeat heartbeat) {
    if (heartbeat.getZone().equals(settings.zone())) {
      return 2;
    }
    return heartbeat.getRegion().equals(settings.region()) ? 1 : 0;
  }
}
