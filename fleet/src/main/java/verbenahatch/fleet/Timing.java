package verbenahatch.fleet;

import java.time.Duration;

/** Time and size constants of membership. All hosts of a fleet must use the same values. */
public final class Timing {

  /** Time between two polls of a peer. */
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

  /**
   * Largest age of a contact at which a member counts as in contact. Half of the 3 s within which a
   * withdrawn key must stop working; the other half covers the last wait of a request and its
   * transfer to the target.
   */
  public static final Duration FRESHNESS_BOUND = Duration.ofMillis(1_500);

  /** Contact age after which a member is fenced. */
  public static final Duration SUSPECT_AFTER = Duration.ofMillis(1_500);

  /**
   * Contact age after which a member is fenced in a fleet with aggregators. When both aggregators
   * of a zone fail, 600 ms pass until others are selected and up to 1.2 s until the new aggregators
   * have reported the contacts of the zone. A bound of 1.5 s fenced running hosts in a test with 36
   * hosts.
   */
  static final Duration SUSPECT_AFTER_LARGE = Duration.ofMillis(2_500);

  /**
   * Time after which the freshness of a removed host has certainly expired: the freshness bound
   * plus 5% for the drift between the monotonic clocks of two hosts.
   */
  public static final Duration FRESHNESS_EXPIRY = Duration.ofMillis(1_575);

  /** Longest time to wait for the response to a poll, push or fetch. */
  static final Duration CALL_TIMEOUT = Duration.ofMillis(1_200);

  /** Shortest time between two attempts to join by a host that is not a member. */
  static final Duration JOIN_INTERVAL = Duration.ofMillis(300);

  /** Longest time for which one watch call blocks. */
  static final Duration WATCH_TIMEOUT = Duration.ofSeconds(10);

  /**
   * Time between two full reads of a prefix by its watcher, which detect a store restored to an
   * older state.
   */
  static final Duration RELIST_INTERVAL = Duration.ofSeconds(30);

  /** Shortest time between two attempts to make facts durable. */
  static final Duration DURABLE_WRITE_INTERVAL = Duration.ofSeconds(1);

  /** Largest number of members for which every host polls every other host. */
  public static final int AGGREGATOR_THRESHOLD = 24;

  /**
   * Number of aggregators of one availability zone; two, so that the loss of one interrupts no
   * contact.
   */
  static final int AGGREGATORS_PER_ZONE = 2;

  private Timing() {}

  /**
   * Returns the contact age after which a member is fenced in a fleet with this number of members.
   */
  static Duration suspectAfter(int members) {
    return members > AGGREGATOR_THRESHOLD ? SUSPECT_AFTER_LARGE : SUSPECT_AFTER;
  }
}
