package verbenahatch.kernel;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/**
 * Holds the named checks that determine whether a process is ready for callers. Thread-safe.
 *
 * <p>A process without checks is ready.
 */
public final class Readiness {

  private final Map<String, Supplier<String>> checks = new ConcurrentSkipListMap<>();

  /**
   * Registers a check; a later check of the same name replaces it.
   *
   * @param name the name shown to operators, not null
   * @param reason returns why the check is not met, empty if it is met; must not block
   */
  public void register(String name, Supplier<String> reason) {
    checks.put(name, reason);
  }

  /**
   * Runs every check and returns those that are not met.
   *
   * @return the reasons by name of the check, in order of name; a check that throws counts as not
   *     met
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
   * Returns whether every check is met.
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
