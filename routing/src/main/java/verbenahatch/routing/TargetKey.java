package verbenahatch.routing;

import verbenahatch.kernel.Hashing;

/**
 * Computes the key by which a target is ranked.
 *
 * <p>Answers targets that register again under a new id: the key is that of the service, the
 * address and the port, so that the target keeps its objects.
 */
public final class TargetKey {

  private TargetKey() {}

  /**
   * Returns the hash of a target's key.
   *
   * @param service the name of the service
   * @param address the IP address in the form in which the target registers it; if it is empty, the
   *     id identifies the target instead
   * @param port the TCP port; if it is not positive, the id identifies the target instead
   * @param id the id of the registry entry
   * @return the hash, equal on all hosts
   */
  public static long hash(String service, String address, int port, String id) {
    // Names contain no line breaks, which keeps the parts of the key apart.
    if (address.isEmpty() || port <= 0) {
      return Hashing.of(service + "\n" + id);
    }
    return Hashing.of(service + "\n" + address + "\n" + port);
  }
}
