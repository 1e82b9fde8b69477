package verbenahatch.store;

import java.util.List;
import verbenahatch.kernel.Result;

/**
 * Provides the platform's list of hosts that run or are about to be stopped.
 *
 * <p>The list lags in both directions: it can lack a running host and contain one that has failed.
 */
public interface HostList {

  /**
   * Reads the list. Blocks for a bounded time and counts as one call to the platform.
   *
   * @return the hosts in order of name, or {@link StoreError.Unavailable}
   */
  Result<List<PlatformHost>, StoreError> hosts();

  /**
   * Describes a host as listed by the platform.
   *
   * @param host the name of the host
   * @param address the IP address of the host
   * @param leaving whether the platform is about to stop the host
   */
  record PlatformHost(String host, String address, boolean leaving) {}
}
