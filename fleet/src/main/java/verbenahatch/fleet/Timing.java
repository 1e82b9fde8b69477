package verbenahatch.fleet;

import java.time.Duration;

/** Holds the time constants of membership; every host of a fleet must use the same ones. */
public final class Timing {

  /** Time between two polls of a peer. */
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

  /**
   * Largest contact age that counts as contact. Half of the 3 s within which a withdrawn key must
   * stop working; the other half covers the last wait and the way to the target.
   */
  public static final Duration FRESHNESS_BOUND = Duration.ofMillis(1_500);

  /** Contact age after which a member is fenced. */
  public static final Duration SUSPECT_AFTER = Duration.ofMillis(1_500);

  /**
   * Contact age after which a member is fenced in a fleet with aggregators. When both aggregators
   * of a zone die, 600 ms pass until they are passed over and up to 1.2 s until the contacts of the
   * zone have come over the new ones; 1.5 s fenced live hosts in a test with 36 hosts.
   */
  static final Duration SUSPECT_AFTER_LARGE = Duration.ofMillis(2_500);

  /** Freshness bound with 5% for the drift between the monotonic clocks of two hosts. */
  public static final Duration FRESHNESS_EXPIRY = Duration.ofMillis(1_575);

  /** Longest time to wait for the answer to a poll, push or fetch. */
  static final Duration CALL_TIMEOUT = Duration.ofMillis(1_200);

  /** Longest time between two reads of the members record by a host that is no member. */
  static final Duration JOIN_INTERVAL = Duration.ofMillis(300);

  /** Longest time for which one watch call blocks. */
  static final Duration WATCH_TIMEOUT = Duration.ofSeconds(10);

  /** Time between two full reads by a watcher, which detect a store restored to an older state. */
  static final Duration RELIST_INTERVAL = Duration.ofSeconds(30);

  /** Time between two attempts to make a fact durable. */
  static final Duration DURABLE_WRITE_INTERVAL = Duration.ofSeconds(1);

  /** Largest number of members for which every host polls every other host. */
  public static final int AGGREGATOR_THRESHOLD = 24;

  /** Aggregators of one availability zone; two, so that the loss of one costs no contact. */
  static final int AGGREGATORS_PER_ZONE = 2;

  private Timing() {}

  /** Returns the contact age after which a member of a fleet of this size is fenced. */
  static Duration suspectAfter(int members) {
    return members > AGGREGATOR_THRESHOLD ? SUSPECT_AFTER_LARGE : SUSPECT_AFTER;
  }
}
