package verbenahatch.limits;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A token bucket that holds this host's share of one limit.
 *
 * <p>The state is one immutable value in an atomic reference, so that admissions and transfers
 * never see a partial update of each other. Tokens refill at the rate of the share and never exceed
 * its burst. All times are readings of the monotonic clock in nanoseconds; a reading older than an
 * earlier one refills nothing. Thread-safe and lock-free.
 */
public final class LocalBucket {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /**
   * Longest time that one refill accounts for; keeps the products in {@code refilled} within 64
   * bits.
   */
  private static final long MAX_REFILL_SECONDS = 1_000;

  /**
   * The state of the bucket.
   *
   * @param rate the refill rate in millionths of a token per second
   * @param burst the capacity of the bucket in millionths of a token
   * @param tokens the available tokens in millionths
   * @param refilledAt when the tokens were last refilled
   * @param carry the fraction of a millionth refilled by {@code refilledAt}, in units of 1e-9
   * @param used the slots in use, in millionths; 0 for limits with a rate
   * @param orphanedSlots the slots, in millionths, of requests that started before the last reset
   *     and still run
   */
  private record State(
      long rate,
      long burst,
      long tokens,
      long refilledAt,
      long carry,
      long used,
      long orphanedSlots) {

    State refilled(long now) {
      long elapsedNanos = now - refilledAt;
      if (elapsedNanos <= 0) {
        return this;
      }
      if (rate == 0 || tokens >= burst) {
        return new State(rate, burst, Math.min(tokens, burst), now, 0, used, orphanedSlots);
      }
      long seconds = Math.min(MAX_REFILL_SECONDS, elapsedNanos / NANOS_PER_SECOND);
      long restNanos = elapsedNanos % NANOS_PER_SECOND;
      long high = rate / NANOS_PER_SECOND;
      long low = rate % NANOS_PER_SECOND * restNanos + carry;
      long gained = rate * seconds + high * restNanos + low / NANOS_PER_SECOND;
      if (tokens + gained >= burst) {
        return new State(rate, burst, burst, now, 0, used, orphanedSlots);
      }
      return new State(
          rate, burst, tokens + gained, now, low % NANOS_PER_SECOND, used, orphanedSlots);
    }
  }

  private final LimitKind kind;
  private final AtomicReference<State> state;

  /**
   * Creates an empty bucket.
   *
   * @param kind what one token represents
   * @param now the reading of the monotonic clock in nanoseconds
   */
  public LocalBucket(LimitKind kind, long now) {
    this.kind = kind;
    this.state = new AtomicReference<>(new State(0, 0, 0, now, 0, 0, 0));
  }

  private State current() {
    return Objects.requireNonNull(state.get());
  }

  /**
   * Takes tokens if enough are available.
   *
   * @param amount millionths of a token, positive
   * @param now the reading of the monotonic clock in nanoseconds
   * @return whether they were taken
   */
  public boolean take(long amount, long now) {
    while (true) {
      State before = current();
      State filled = before.refilled(now);
      if (filled.tokens < amount) {
        return false;
      }
      long used = kind == LimitKind.SLOTS ? filled.used + amount : 0;
      State after =
          new State(
              filled.rate,
              filled.burst,
              filled.tokens - amount,
              filled.refilledAt,
              filled.carry,
              used,
              filled.orphanedSlots);
      if (state.compareAndSet(before, after)) {
        return true;
      }
    }
  }

  /**
   * Returns the slots of an ended request to the bucket; does nothing for limits with a rate.
   *
   * <p>Slots taken before the last {@link #reset(long)} are returned first and become available to
   * no request, because the share they belonged to was dropped.
   *
   * @param amount the slots in millionths
   */
  public void putBack(long amount) {
    if (kind != LimitKind.SLOTS) {
      return;
    }
    while (true) {
      State before = current();
      long orphanedSlots = Math.min(before.orphanedSlots, amount);
      long returned = Math.min(before.used, amount - orphanedSlots);
      State after =
          new State(
              before.rate,
              before.burst,
              before.tokens + returned,
              before.refilledAt,
              before.carry,
              before.used - returned,
              before.orphanedSlots - orphanedSlots);
      if (state.compareAndSet(before, after)) {
        return;
      }
    }
  }

  /**
   * Adds a granted share.
   *
   * @param granted the share to add, not negative
   * @param now the reading of the monotonic clock in nanoseconds
   */
  public void add(Share granted, long now) {
    while (true) {
      State before = current();
      State filled = before.refilled(now);
      State after =
          new State(
              filled.rate + granted.rate(),
              filled.burst + granted.burst(),
              filled.tokens + granted.tokens(),
              filled.refilledAt,
              filled.carry,
              filled.used,
              filled.orphanedSlots);
      if (state.compareAndSet(before, after)) {
        return;
      }
    }
  }

  /**
   * Removes the rate and burst above the given amounts, with as many tokens as the removed burst
   * can hold.
   *
   * <p>Slots in use are not removed, so the removed share may be smaller than the excess.
   *
   * @param keepRate the rate to keep, in millionths of a token per second
   * @param keepBurst the burst to keep, in millionths of a token
   * @param now the reading of the monotonic clock in nanoseconds
   * @return the removed share, possibly empty
   */
  public Share removeAbove(long keepRate, long keepBurst, long now) {
    while (true) {
      State before = current();
      State filled = before.refilled(now);
      long rate = Math.max(0, filled.rate - keepRate);
      long burst = Math.max(0, filled.burst - keepBurst);
      if (kind == LimitKind.SLOTS) {
        burst = Math.min(burst, filled.tokens);
      }
      if (rate == 0 && burst == 0) {
        return Share.NONE;
      }
      long tokens = Math.min(filled.tokens, burst);
      State after =
          new State(
              filled.rate - rate,
              filled.burst - burst,
              filled.tokens - tokens,
              filled.refilledAt,
              filled.carry,
              filled.used,
              filled.orphanedSlots);
      if (state.compareAndSet(before, after)) {
        return new Share(rate, burst, tokens);
      }
    }
  }

  /**
   * Drops the share, which a host must do when it rejoins with a new incarnation.
   *
   * @param now the reading of the monotonic clock in nanoseconds
   */
  public void reset(long now) {
    while (true) {
      State before = current();
      State after = new State(0, 0, 0, now, 0, 0, before.orphanedSlots + before.used);
      if (state.compareAndSet(before, after)) {
        return;
      }
    }
  }

  /**
   * Returns the share with the tokens refilled up to a time.
   *
   * @param now the reading of the monotonic clock in nanoseconds
   * @return the share at that time
   */
  public Share share(long now) {
    State filled = current().refilled(now);
    return new Share(filled.rate, filled.burst, filled.tokens);
  }

  /**
   * Returns the slots in use.
   *
   * @return millionths of a token, 0 for limits with a rate
   */
  public long used() {
    return current().used;
  }
}
