package verbenahatch.routing;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
 *
 * <p>Each request adds a fraction of a retry to the budget, each retry takes a whole one.
 * Thread-safe and lock-free.
 */
public final class RetryBudget {

  private static final long THOUSANDTHS_PER_RETRY = 1_000;

  private final AtomicLong thousandths;
  private final long thousandthsPerRequest;
  private final long maxThousandths;

  /**
   * Creates a budget.
   *
   * @param ratio retries per request, from 0 to 1
   * @param reserve the number of retries available at the start, which is also the largest that the
   *     budget holds
   */
  public RetryBudget(double ratio, int reserve) {
    this.thousandthsPerRequest = Math.round(ratio * THOUSANDTHS_PER_RETRY);
    this.maxThousandths = reserve * THOUSANDTHS_PER_RETRY;
    this.thousandths = new AtomicLong(maxThousandths);
  }

  /** Counts one request, which adds the configured fraction of a retry to the budget. */
  public void onRequest() {
    thousandths.accumulateAndGet(
        thousandthsPerRequest, (available, added) -> Math.min(maxThousandths, available + added));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false if the budget holds less than one retry
   */
  public boolean tryRetry() {
    while (true) {
      long available = thousandths.get();
      if (available < THOUSANDTHS_PER_RETRY) {
        return false;
      }
      if (thousandths.compareAndSet(available, available - THOUSANDTHS_PER_RETRY)) {
        return true;
      }
    }
  }
}
