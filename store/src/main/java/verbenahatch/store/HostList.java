package verbenahatch.store;

import java.util.List;
import verbenahatch.kernel.Result;

/**
 * Gives the platform's list of live and leaving hosts.
 *
 * <p>The list lags in both directions: it can miss a live host and name a dead one.
 */
public interface HostList {

  /**
   * Reads the list. Blocks for a bounded time and counts as one call.
   *
   * @return the hosts in order of name, or {@link StoreError.Unavailable}
   */
  Result<List<PlatformHost>, StoreError> hosts();

  /**
   * Describes a host as the platform sees it.
   *
   * @param host the name
   * @param address the IP number
   * @param leaving whether the platform is about to stop it
   */
  record PlatformHost(String host, String address, boolean leaving) {}
}
