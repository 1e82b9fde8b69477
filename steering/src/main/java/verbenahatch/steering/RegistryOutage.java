package verbenahatch.steering;

import verbenahatch.steering.model.StoreRevision;

/**
 * Determines since when the registry has been reachable again after this host lost it.
 *
 * <p>Thread-safe. If the registry was down, its entries expired and are registered again a little
 * later. If only this host was partitioned from it, other hosts received newer revisions meanwhile,
 * and targets whose entries are missing have really been removed.
 */
final class RegistryOutage {

  private boolean lost;
  private boolean reachedByPeers;
  private StoreRevision revisionAtLoss = StoreRevision.NONE;
  private long reachedByPeersNanos;

  /**
   * Records that the registry does not answer this host.
   *
   * @param newestRevision the newest revision that this host or another one had received by then
   */
  synchronized void markLost(StoreRevision newestRevision) {
    lost = true;
    reachedByPeers = false;
    revisionAtLoss = newestRevision;
  }

  /**
   * Records the newest revision that other hosts received from the registry.
   *
   * <p>A revision above that at the loss shows that the registry answers another host.
   *
   * @param revision the newest revision of another host
   * @param nowNanos the current time in ns
   */
  synchronized void observePeerRevision(StoreRevision revision, long nowNanos) {
    if (lost && !reachedByPeers && revision.isAfter(revisionAtLoss)) {
      reachedByPeers = true;
      reachedByPeersNanos = nowNanos;
    }
  }

  /**
   * Records that the registry answers this host again.
   *
   * @param nowNanos the current time in ns
   * @return the earliest time, in ns, at which the registry is known to have answered any host
   *     after the loss
   */
  synchronized long markReachable(long nowNanos) {
    boolean peersReachedItEarlier = lost && reachedByPeers;
    lost = false;
    return peersReachedItEarlier ? reachedByPeersNanos : nowNanos;
  }
}
