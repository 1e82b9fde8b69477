package verbenahatch.limits;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds this host's share of one limit and takes tokens from it.
 *
 * <p>The whole state is one immutable value behind an atomic reference, so that an admission and a
 * transfer never see half of each other. Tokens refill at the share's rate and never exceed its
 * burst. All times are readings of the monotonic clock in nanoseconds; a reading older than an
 * earlier one adds nothing. Thread-safe and free of locks.
 */
public final class LocalBucket {

  private static final long SECOND = 1_000_000_000L;

  /** Longest time that one refill accounts for; bounds the products below to 64 bits. */
  private static final long LONGEST_REFILL_SECONDS = 1_000;

  /**
   * State of the bucket.
   *
   * @param rate millionths of a token per second
   * @param burst millionths of a token
   * @param tokens millionths of a token
   * @param at when the tokens were refilled
   * @param carry the part of a millionth earned at {@code at}, in units of 1e-9
   * @param used the slots in use, in millionths; 0 for limits with a rate
   * @param orphans the slots of requests that started before the last reset
   */
  private record State(
      long rate, long burst, long tokens, long at, long carry, long used, long orphans) {

    State refilled(long now) {
      long elapsed = now - at;
      if (elapsed <= 0) {
        return this;
      }
      if (rate == 0 || tokens >= burst) {
        return new State(rate, burst, Math.min(tokens, burst), now, 0, used, orphans);
      }
      long seconds = Math.min(LONGEST_REFILL_SECONDS, elapsed / SECOND);
      long rest = elapsed % SECOND;
      long high = rate / SECOND;
      long low = rate % SECOND * rest + carry;
      long gained = rate * seconds + high * rest + low / SECOND;
      if (tokens + gained >= burst) {
        return new State(rate, burst, burst, now, 0, used, orphans);
      }
      return new State(rate, burst, tokens + gained, now, low % SECOND, used, orphans);
    }
  }

  private final LimitKind kind;
  private final AtomicReference<State> state;

  /**
   * Creates a bucket that holds nothing.
   *
   * @param kind what a token is
   * @param now the time
   */
  public LocalBucket(LimitKind kind, long now) {
    this.kind = kind;
    this.state = new AtomicReference<>(new State(0, 0, 0, now, 0, 0, 0));
  }

  private State current() {
    return Objects.requireNonNull(state.get());
  }

  /**
   * Takes tokens if enough are there.
   *
   * @param amount millionths of a token, positive
   * @param now the time
   * @return true if they were taken
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
              filled.at,
              filled.carry,
              used,
              filled.orphans);
      if (state.compareAndSet(before, after)) {
        return true;
      }
    }
  }

  /**
   * Returns slots whose request ended; for limits with a rate it does nothing.
   *
   * <p>Slots taken before the last {@link #reset(long)} are settled first and come back to nobody,
   * because the share they belonged to is gone.
   *
   * @param amount millionths of a token
   */
  public void putBack(long amount) {
    if (kind != LimitKind.SLOTS) {
      return;
    }
    while (true) {
      State before = current();
      long orphans = Math.min(before.orphans, amount);
      long returned = Math.min(before.used, amount - orphans);
      State after =
          new State(
              before.rate,
              before.burst,
              before.tokens + returned,
              before.at,
              before.carry,
              before.used - returned,
              before.orphans - orphans);
      if (state.compareAndSet(before, after)) {
        return;
      }
    }
  }

  /**
   * Adds a granted share.
   *
   * @param granted the share, not negative
   * @param now the time
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
              filled.at,
              filled.carry,
              filled.used,
              filled.orphans);
      if (state.compareAndSet(before, after)) {
        return;
      }
    }
  }

  /**
   * Removes what exceeds a rate and a burst, with as many tokens as the removed burst can hold.
   *
   * <p>Slots in use stay, so less than the whole excess may be removed.
   *
   * @param keepRate the rate to keep, in millionths of a token per second
   * @param keepBurst the burst to keep, in millionths of a token
   * @param now the time
   * @return what was removed, possibly nothing
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
              filled.at,
              filled.carry,
              filled.used,
              filled.orphans);
      if (state.compareAndSet(before, after)) {
        return new Share(rate, burst, tokens);
      }
    }
  }

  /**
   * Drops the share, as a host must that rejoins with a new incarnation.
   *
   * @param now the time
   */
  public void reset(long now) {
    while (true) {
      State before = current();
      State after = new State(0, 0, 0, now, 0, 0, before.orphans + before.used);
      if (state.compareAndSet(before, after)) {
        return;
      }
    }
  }

  /**
   * Returns the share as it is now.
   *
   * @param now the time
   * @return the share
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
