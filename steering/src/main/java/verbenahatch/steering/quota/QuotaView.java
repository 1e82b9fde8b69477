package verbenahatch.steering.quota;

/**
 * Describes, for operators, what a host may admit of a workspace's requests at present.
 *
 * @param decidedBy who decides about the next request
 * @param coordinator the host that coordinates the workspace in this region, empty if none does
 * @param headroom the requests that all hosts may still admit in this window, as far as this host
 *     knows; 0 if another host decides
 * @param share this host's fraction of the headroom, from 0 to 1; 0 if another host decides
 * @param admitted the requests within the window that this host admitted
 * @param remaining the requests that this host would admit now; -1 if another host decides
 */
public record QuotaView(
    DecidedBy decidedBy,
    String coordinator,
    double headroom,
    double share,
    int admitted,
    int remaining) {

  /** Who decides about a request. */
  public enum DecidedBy {
    /** The workspace has no rate. */
    NOBODY,
    /** This host, by its share or as the coordinator. */
    THIS_HOST,
    /** Another host, the coordinator. */
    COORDINATOR,
    /** This host, by an even share, as no coordinator is known. */
    THIS_HOST_ALONE
  }
}
