package verbenahatch.steering.quota;

/**
 * Supplies the demand and the admissions of the other hosts or regions that admit requests of a
 * workspace, as known to this host. Implementations are thread-safe.
 */
interface AdmittingPeers {

  /**
   * Holds totals over the other peers that admit requests of a workspace.
   *
   * @param demandPerSecond the requests per second that their callers send
   * @param admitted the requests that they admitted within the quota window, or may have admitted
   *     without this host's knowledge
   * @param unknown the part of {@code admitted} that no report shows
   * @param recent the part of {@code admitted} that is probably within the propagation time
   * @param alive the number of these peers that are alive
   * @param count the number of all peers that admit requests, this one included
   * @param propagationMillis the time in milliseconds after which the others know of an admission
   */
  record PeerTotals(
      double demandPerSecond,
      double admitted,
      double unknown,
      double recent,
      int alive,
      int count,
      long propagationMillis) {

    /** Returns the fraction of all peers that are alive, this one included; above 0, at most 1. */
    double aliveFraction() {
      return (alive + 1.0) / Math.max(count, alive + 1);
    }
  }

  /** Applies the reports that arrived since the last call. */
  void refresh();

  /**
   * Returns the totals of a workspace.
   *
   * @param workspace the name of the workspace
   * @param limit the requests that all peers together may admit in one window
   */
  PeerTotals totals(String workspace, double limit);
}
