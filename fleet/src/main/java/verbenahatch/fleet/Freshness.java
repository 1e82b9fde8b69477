package verbenahatch.fleet;

/**
 * The time up to which a host may use keys and shared limits without further contact.
 *
 * <p>Two majorities of one epoch, or of adjacent epochs, have a member in common. A host whose
 * contacts with a majority are at most {@link Timing#FRESHNESS_BOUND} old therefore holds every
 * fact that a majority had acknowledged before those contacts. To cover facts of earlier epochs as
 * well, a contact counts only if it began after this host adopted its epoch, or if the member had
 * settled the previous epoch: before the next epoch is written, a majority settles the current one,
 * and then holds all earlier facts.
 *
 * @param kind whether freshness depends on time
 * @param expiresAtNanos the end of freshness on the monotonic clock of this host in ns; used for
 *     {@link Kind#UNTIL} only
 */
record Freshness(Kind kind, long expiresAtNanos) {

  /** Whether freshness depends on time. */
  enum Kind {
    /** Never fresh: the host is not a member, was fenced or lacks contacts. */
    NEVER,
    /** Always fresh: the host alone is a majority. */
    ALWAYS,
    /** Fresh up to a time. */
    UNTIL
  }

  static final Freshness NEVER = new Freshness(Kind.NEVER, 0);
  private static final Freshness ALWAYS = new Freshness(Kind.ALWAYS, 0);

  /**
   * Computes the freshness of this host from its contacts.
   *
   * @param record the members of the newest epoch known to this host
   * @param self the incarnation of this host
   * @param contacts the contacts of this host
   * @param epochAdoptedAtNanos the time at which this host adopted the epoch, in ns
   * @param nowNanos the current reading of the monotonic clock in ns, from which readings are
   *     compared
   * @return freshness up to the time at which the contact with a majority exceeds the bound
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

  /**
   * Returns this freshness with its end as a time, so that it stays valid after a change of epoch.
   */
  Freshness toExpiryTime(long nowNanos) {
    return kind == Kind.ALWAYS
        ? new Freshness(Kind.UNTIL, nowNanos + remainingNanos(nowNanos))
        : this;
  }

  /**
   * Returns the freshness that ends later. It is valid, because a host holds the same facts by
   * either of them.
   */
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
