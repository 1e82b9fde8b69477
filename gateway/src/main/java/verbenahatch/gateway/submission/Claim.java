package verbenahatch.gateway.submission;

/** Gives one request the sole right to run a submission. */
public interface Claim {

  /**
   * Tells whether the right may still be used; a request that was paused must not use it late.
   *
   * @param nowNanos the monotonic time
   * @return true within the validity of the claim
   */
  boolean isHeld(long nowNanos);

  /**
   * Reports what became of the submission. Only the first report counts. Never blocks.
   *
   * @param settlement what became of it
   * @param status the HTTP status of the answer, 0 if there was none
   */
  void settle(Settlement settlement, int status);
}
