package verbenahatch.kernel;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/**
 * Gathers the named checks that decide whether a process is ready for callers. Thread-safe.
 *
 * <p>A process without checks is ready.
 */
public final class Readiness {

  private final Map<String, Supplier<String>> checks = new ConcurrentSkipListMap<>();

  /**
   * Adds a check; a second check of the same name replaces the first.
   *
   * @param name the name shown to operators, not null
   * @param reason returns what is missing, empty if the check is met; must not block
   */
  public void register(String name, Supplier<String> reason) {
    checks.put(name, reason);
  }

  /**
   * Runs every check.
   *
   * @return reasons by name of the checks that are not met, in order of name; a check that throws
   *     counts as not met
   */
  public Map<String, String> unmet() {
    Map<String, String> unmet = new LinkedHashMap<>();
    checks.forEach(
        (name, check) -> {
          String reason = run(check);
          if (!reason.isEmpty()) {
            unmet.put(name, reason);
          }
        });
    return unmet;
  }

  /**
   * Tells whether every check is met.
   *
   * @return true if ready
   */
  public boolean isReady() {
    return unmet().isEmpty();
  }

  private static String run(Supplier<String> check) {
    try {
      return check.get();
    } catch (RuntimeException e) {
      return "check failed: " + e;
    }
  }
}
