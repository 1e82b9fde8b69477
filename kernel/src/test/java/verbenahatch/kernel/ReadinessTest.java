package verbenahatch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class ReadinessTest {

  /** Guards against a process that counts as ready while a check is unmet or throws. */
  @Test
  void listsUnmetChecks() {
    Readiness readiness = new Readiness();
    assertTrue(readiness.isReady());
    readiness.register("met", () -> "");
    readiness.register("late", () -> "no document");
    readiness.register(
        "broken",
        () -> {
          throw new IllegalStateException("x");
        });
    assertFalse(readiness.isReady());
    assertEquals(
        Map.of("late", "no document", "broken", "check failed: java.lang.IllegalStateException: x"),
        readiness.unmet());
  }
}
