package verbenahatch.routing;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import verbenahatch.model.EnvironmentDocument.Target;

/** Guards against lost or doubled counts under concurrent use. */
class RoutingLincheckTest {

  private static ModelCheckingOptions options() {
    return new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(2)
        .actorsPerThread(3);
  }

  /** The slots of one target. */
  public static class Slots {
    private final TargetState state =
        new TargetState(new Target("t", "r", "z", "127.0.0.1", 1, "v1", 2, 10), 0);

    /** Takes a slot. */
    @Operation
    public boolean acquire() {
      return state.tryAcquire(2);
    }

    /** Returns the number of slots taken. */
    @Operation
    public int inFlight() {
      return state.inFlight();
    }
  }

  /** The retry budget. */
  public static class Retries {
    private final RetryBudget budget = new RetryBudget(0.5, 1);

    /** Counts a request. */
    @Operation
    public void request() {
      budget.onRequest();
    }

    /** Takes a retry from the budget. */
    @Operation
    public boolean retry() {
      return budget.tryRetry();
    }
  }

  @Test
  void slotsAreLinearizable() {
    options().check(Slots.class);
  }

  @Test
  void retriesAreLinearizable() {
    options().check(Retries.class);
  }
}
