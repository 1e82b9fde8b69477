package verbenahatch.routing;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a part of the requests, so that retries cannot multiply an overload.
 *
 * <p>Each request adds a part of a retry, each retry takes a whole one. Thread-safe and free of
 * locks.
 */
public final class RetryBudget {

  private static final long WHOLE = 1_000;

  private final AtomicLong thousandths;
  private final long perRequest;
  private final long most;

  /**
   * Creates a budget.
   *
   * @param ratio retries per request, from 0 to 1
   * @param reserve the number of retries available at the start and the most that gather
   */
  public RetryBudget(double ratio, int reserve) {
    this.perRequest = Math.round(ratio * WHOLE);
    this.most = reserve * WHOLE;
    this.thousandths = new AtomicLong(most);
  }

  /** Counts one request. */
  public void onRequest() {
    thousandths.accumulateAndGet(perRequest, (now, more) -> Math.min(most, now + more));
  }

  /**
   * Takes one retry.
   *
   * @return false if the budget is used up
   */
  public boolean tryRetry() {
    while (true) {
      long now = thousandths.get();
      if (now < WHOLE) {
        return false;
      }
      if (thousandths.compareAndSet(now, now - WHOLE)) {
        return true;
      }
    }
  }
}
