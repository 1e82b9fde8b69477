package verbenahatch.limits.testing;

/**
 * Records the tokens admitted under one limit and finds the largest excess over any time window.
 *
 * <p>A window of t seconds may admit the burst plus the tokens that the rate adds in t seconds.
 * Events must be recorded in order of time. Not thread-safe.
 */
public final class AdmissionLog {

  private static final double NANOS_PER_SECOND = 1e9;

  private double rate;
  private final double burst;
  private double allowed;
  private double admitted;
  private double lowestBalance;
  private double excess = Double.NEGATIVE_INFINITY;
  private long lastEventAt;

  /**
   * Creates an empty log.
   *
   * @param rate the allowed rate in tokens per second
   * @param burst the allowed burst in tokens
   * @param now the start as a reading of the monotonic clock in nanoseconds
   */
  public AdmissionLog(double rate, double burst, long now) {
    this.rate = rate;
    this.burst = burst;
    this.lastEventAt = now;
  }

  /**
   * Changes the allowed rate from a time on.
   *
   * @param newRate the allowed rate in tokens per second
   * @param now the reading of the monotonic clock in nanoseconds
   */
  public void rate(double newRate, long now) {
    advanceTo(now);
    rate = newRate;
  }

  private void advanceTo(long now) {
    allowed += rate * (now - lastEventAt) / NANOS_PER_SECOND;
    lastEventAt = now;
    lowestBalance = Math.min(lowestBalance, admitted - allowed);
  }

  /**
   * Records an admission.
   *
   * @param amount the admitted tokens
   * @param now the reading of the monotonic clock in nanoseconds
   */
  public void admit(double amount, long now) {
    advanceTo(now);
    admitted += amount;
    excess = Math.max(excess, admitted - allowed - lowestBalance - burst);
  }

  /**
   * Returns the largest excess over any window so far.
   *
   * @return the tokens above the limit in the worst window; zero or negative if no window exceeded
   *     the limit, negative infinity before the first admission
   */
  public double excess() {
    return excess;
  }

  /**
   * Returns the tokens admitted so far.
   *
   * @return the number of tokens
   */
  public double admitted() {
    return admitted;
  }
}
