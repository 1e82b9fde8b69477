package verbenahatch.gateway;

/**
 * Decides which attempts begin while a stopping host waits for its requests in flight.
 *
 * <p>A request may wait for a slot or be sent to a second target, so an attempt can begin late in
 * the drain, whose end cuts it off. Immutable.
 *
 * @param endNanos the end of the drain in ns of the monotonic clock
 */
record DrainPlan(long endNanos) {

  /**
   * Returns whether an attempt may begin.
   *
   * @param deadlineNanos the deadline of its request in ns of the monotonic clock
   * @return false if the attempt could outlast the drain
   */
  boolean mayBegin(long deadlineNanos) {
    return deadlineNanos - endNanos <= 0;
  }
}
