package verbenahatch.fleet;

/**
 * Tells until when a host may use keys and shared limits without further contact.
 *
 * <p>Two majorities of one epoch, or of adjacent epochs, have a member in common. A host whose
 * contacts with a majority are at most {@link Timing#FRESHNESS_BOUND} old therefore knows every
 * fact that a majority acknowledged before that. For facts of epochs further back, a contact counts
 * only if it began after this host adopted its epoch, or if the member had settled the epoch
 * before: a majority of each epoch settles it, and then holds all earlier facts, before the next is
 * written.
 *
 * @param kind whether time matters
 * @param untilNanos the end on the monotonic clock, for {@link Kind#UNTIL}
 */
record Freshness(Kind kind, long expiresAtNanos) {

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
   * @param adoptedAt when this host adopted the epoch
   * @param now the present reading of the clock, from which readings are compared
   * @return the time at which the contact of a majority is older than the bound
   */
  static Freshness of(
      MembersRecord record,
      String self,
      ContactTable contacts,
      long epochAdoptedAtNanos,
      long nowNanos) {
    if (!record.contains(self)) {
      return NEVER;
    }
    int neededContacts = record.majority() - 1;
    if (neededContacts == 0) {
      return ALWAYS;
    }
    long[] agesNanos =
        record.members().stream()
            .filter(m -> !m.incarnation().equals(self))
            .map(m -> contacts.last(m.incarnation()))
            .filter(c -> c != null && isCounted(c, record.epoch(), epochAdoptedAtNanos))
            .mapToLong(c -> nowNanos - c.startNanos())
            .sorted()
            .toArray();
    if (agesNanos.length < neededContacts) {
      return NEVER;
    }
    return new Freshness(
        Kind.UNTIL, nowNanos - agesNanos[neededContacts - 1] + Timing.FRESHNESS_BOUND.toNanos());
  }

  private static boolean isCounted(
      ContactTable.Contact contact, long epoch, long epochAdoptedAtNanos) {
    return contact.startNanos() - epochAdoptedAtNanos > 0 || contact.settledEpoch() >= epoch - 1;
  }

  /** Returns the end of freshness as a time, so that it stays valid over a change of epoch. */
  Freshness toExpiryTime(long nowNanos) {
    return kind == Kind.ALWAYS
        ? new Freshness(Kind.UNTIL, nowNanos + remainingNanos(nowNanos))
        : this;
  }

  /** Returns the later of two ends; what a host knows by one it also knows by the other. */
  Freshness later(Freshness other, long nowNanos) {
    return other.remainingNanos(nowNanos) > remainingNanos(nowNanos) ? other : this;
  }

  long remainingNanos(long nowNanos) {
    return switch (kind) {
      case NEVER -> 0;
      case ALWAYS -> Timing.FRESHNESS_BOUND.toNanos();
      case UNTIL -> expiresAtNanos - nowNanos;
    };
  }

  boolean isFresh(long nowNanos) {
    return remainingNanos(nowNanos) > 0;
  }
}
