package verbenahatch.steering;

/**
 * Finds out since when the registry answers again after this host lost it.
 *
 * <p>Thread-safe. If the registry was down, entries lapsed and come back a little later. If only
 * this host was cut off, the other hosts saw it go on, and what is missing is gone.
 */
final class RegistryOutage {

  private boolean lost;
  private boolean seenByOthers;
  private long revisionAtLoss;
  private long seenNanos;

  /**
   * Notes that the registry does not answer this host.
   *
   * @param knownRevision the newest revision that this host or another one had seen by then
   */
  synchronized void lost(long knownRevision) {
    lost = true;
    seenByOthers = false;
    revisionAtLoss = knownRevision;
  }

  /**
   * Takes what other hosts have seen.
   *
   * @param revision the newest revision of another host
   * @param nowNanos the time
   */
  synchronized void heard(long revision, long nowNanos) {
    if (lost && !seenByOthers && revision > revisionAtLoss) {
      seenByOthers = true;
      seenNanos = nowNanos;
    }
  }

  /**
   * Notes that the registry answers this host again.
   *
   * @param nowNanos the time
   * @return the time since which it answers any host, as far as this one knows
   */
  synchronized long returned(long nowNanos) {
    boolean earlier = lost && seenByOthers;
    lost = false;
    return earlier ? seenNanos : nowNanos;
  }
}
