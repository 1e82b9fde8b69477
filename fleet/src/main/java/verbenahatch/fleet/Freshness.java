package verbenahatch.fleet;

/**
 * Tells until when a host may use keys and shared limits without further contact.
 *
 * <p>Two majorities of one epoch, or of adjacent epochs, have a member in common. A host whose
 * contacts with a majority are at most {@link Timing#FRESHNESS_BOUND} old therefore knows every
 * fact that a majority acknowledged before that.
 *
 * @param kind whether time matters
 * @param untilNanos the end on the monotonic clock, for {@link Kind#UNTIL}
 */
record Freshness(Kind kind, long untilNanos) {

  /** Whether time matters. */
  enum Kind {
    /** The host is no member, or is fenced. */
    NEVER,
    /** The host alone is a majority. */
    ALWAYS,
    /** The host is fresh up to a time. */
    UNTIL
  }

  static final Freshness NEVER = new Freshness(Kind.NEVER, 0);
  private static final Freshness ALWAYS = new Freshness(Kind.ALWAYS, 0);

  /**
   * Computes the end of freshness.
   *
   * @param record the members of the newest known epoch
   * @param self the incarnation of this host
   * @param contacts the contacts of this host
   * @param now the present reading of the clock, from which readings are compared
   * @return the time at which the contact of a majority is older than the bound
   */
  static Freshness of(MembersRecord record, String self, ContactTable contacts, long now) {
    if (!record.contains(self)) {
      return NEVER;
    }
    int needed = record.majority() - 1;
    if (needed == 0) {
      return ALWAYS;
    }
    long[] ages =
        record.members().stream()
            .filter(m -> !m.incarnation().equals(self))
            .flatMapToLong(m -> contacts.ageNanos(m.incarnation(), now).stream())
            .sorted()
            .toArray();
    if (ages.length < needed) {
      return NEVER;
    }
    return new Freshness(Kind.UNTIL, now - ages[needed - 1] + Timing.FRESHNESS_BOUND.toNanos());
  }

  long nanosLeft(long now) {
    return switch (kind) {
      case NEVER -> 0;
      case ALWAYS -> Timing.FRESHNESS_BOUND.toNanos();
      case UNTIL -> untilNanos - now;
    };
  }

  boolean isFresh(long now) {
    return nanosLeft(now) > 0;
  }
}
