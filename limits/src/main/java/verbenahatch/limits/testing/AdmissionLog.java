package verbenahatch.limits.testing;

/**
 * Records what was admitted under one limit and finds the largest excess over any window.
 *
 * <p>A window of t seconds may admit the burst and what the rate adds in t. Events must come in
 * order of time. Not thread-safe.
 */
public final class AdmissionLog {

  private static final double SECOND = 1e9;

  private double rate;
  private final double burst;
  private double allowed;
  private double admitted;
  private double least;
  private double excess = Double.NEGATIVE_INFINITY;
  private long last;

  /**
   * Creates a log.
   *
   * @param rate tokens per second
   * @param burst tokens
   * @param now the start in nanoseconds
   */
  public AdmissionLog(double rate, double burst, long now) {
    this.rate = rate;
    this.burst = burst;
    this.last = now;
  }

  /**
   * Changes the rate from now on.
   *
   * @param changed tokens per second
   * @param now the time in nanoseconds
   */
  public void rate(double changed, long now) {
    move(now);
    rate = changed;
  }

  private void move(long now) {
    allowed += rate * (now - last) / SECOND;
    last = now;
    least = Math.min(least, admitted - allowed);
  }

  /**
   * Records an admission.
   *
   * @param amount tokens
   * @param now the time in nanoseconds
   */
  public void admit(double amount, long now) {
    move(now);
    admitted += amount;
    excess = Math.max(excess, admitted - allowed - least - burst);
  }

  /**
   * Returns the largest excess so far.
   *
   * @return tokens above the limit in the worst window, zero or negative if none exceeded it
   */
  public double excess() {
    return excess;
  }

  /**
   * Returns what was admitted.
   *
   * @return tokens
   */
  public double admitted() {
    return admitted;
  }
}
