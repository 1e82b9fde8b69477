package verbenahatch.gateway.submission;

/** The exclusive right of one request to run a submission. */
public interface Claim {

  /**
   * Returns whether the claim may still be used. A request that was paused must not use it after
   * its validity has ended.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return true within the validity of the claim, until it is settled
   */
  boolean isHeld(long nowNanos);

  /**
   * Reports the result of the submission. Only the first report has an effect. Never blocks.
   *
   * @param settlement whether the submission ran
   * @param status the HTTP status of the response, 0 if there was none
   */
  void settle(Settlement settlement, int status);
}
