package verbenahatch.steering;

/**
 * A token bucket with a rate in tokens per second and a burst in tokens.
 *
 * <p>Thread-safe. Rate and burst may change at any time; a change issues no tokens.
 */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond;
  private double burst;
  private double tokens;
  private long lastNanos;

  TokenBucket(double ratePerSecond, double burst, double tokens, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = Math.min(tokens, burst);
    this.lastNanos = nowNanos;
  }

  /** Changes rate and burst; tokens above the new burst are dropped. */
  synchronized void set(double newRate, double newBurst, long nowNanos) {
    refill(nowNanos);
    ratePerSecond = newRate;
    burst = newBurst;
    tokens = Math.min(tokens, newBurst);
  }

  /** Takes one token; returns false if there is none. */
  synchronized boolean tryTake(long nowNanos) {
    refill(nowNanos);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Returns whether {@link #tryTake} would succeed. */
  synchronized boolean hasToken(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1;
  }

  /** Returns whether {@link #tryTake} would succeed, without a refill. */
  synchronized boolean wouldHaveToken(long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
    return Math.min(burst, tokens + seconds * ratePerSecond) >= 1;
  }

  private void refill(long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
    lastNanos = nowNanos;
    tokens = Math.min(burst, tokens + seconds * ratePerSecond);
  }
}
