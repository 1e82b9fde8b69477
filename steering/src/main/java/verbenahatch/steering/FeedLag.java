package verbenahatch.steering;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import verbenahatch.peer.generated.HostBeat;

/**
 * Detects that a feed of this host lags behind the same feed of another host.
 *
 * <p>The store may have lost the watch of this host, or the relay that reads for it may be cut off
 * from the store. Neither shows at once, but heartbeats of other hosts name the newest change that
 * they have seen. Must be called by one thread.
 */
final class FeedLag {

  private final ToLongFunction<HostBeat> newestOfPeer;
  private final LongSupplier newestOfThisHost;
  private final Runnable refresh;
  private boolean behind;
  private long behindSinceNanos;

  /**
   * Creates the detection for one feed.
   *
   * @param newestOfPeer returns the newest change that another host has seen
   * @param newestOfThisHost returns the change up to which this host has read the feed
   * @param refresh reads the feed again
   */
  FeedLag(ToLongFunction<HostBeat> newestOfPeer, LongSupplier newestOfThisHost, Runnable refresh) {
    this.newestOfPeer = newestOfPeer;
    this.newestOfThisHost = newestOfThisHost;
    this.refresh = refresh;
  }

  /**
   * Refreshes the feed if it has lagged for longer than is tolerated.
   *
   * @param heartbeats the newest heartbeats of other hosts
   * @param toleranceMillis the time in ms in which a change normally reaches this host
   * @param nowNanos the current time in ns
   */
  void check(List<HostBeat> heartbeats, long toleranceMillis, long nowNanos) {
    boolean wasBehind = behind;
    behind = isBehind(heartbeats);
    if (!behind) {
      return;
    }
    if (!wasBehind) {
      behindSinceNanos = nowNanos;
    } else if (nowNanos - behindSinceNanos > TimeUnit.MILLISECONDS.toNanos(toleranceMillis)) {
      refresh.run();
      behindSinceNanos = nowNanos;
    }
  }

  private boolean isBehind(List<HostBeat> heartbeats) {
    long own = newestOfThisHost.getAsLong();
    for (HostBeat heartbeat : heartbeats) {
      if (newestOfPeer.applyAsLong(heartbeat) > own) {
        return true;
      }
    }
    return false;
  }
}
