package verbenahatch.kernel;

/**
 * Identifies a kind of log event.
 *
 * <p>One enum per module implements it. Numbers are unique over all modules and never reused;
 * {@code docs/events.md} lists them.
 */
public interface EventCode {

  /** Severity of an event. */
  enum Level {
    /** Normal operation. */
    INFO,
    /** Degraded operation that needs no action yet. */
    WARN,
    /** A failure that needs an operator. */
    ERROR
  }

  /**
   * Describes an event.
   *
   * @param number a positive number inside the range of the module
   * @param level the severity
   * @param template the message with one {@code {}} per argument
   */
  record Definition(int number, Level level, String template) {}

  /**
   * Returns what describes the event.
   *
   * @return the definition
   */
  Definition definition();

  /**
   * Returns the number of the event.
   *
   * @return a positive number inside the range of the module
   */
  default int number() {
    return definition().number();
  }

  /**
   * Returns the severity.
   *
   * @return the severity
   */
  default Level level() {
    return definition().level();
  }

  /**
   * Returns the message with one {@code {}} per argument.
   *
   * @return the template
   */
  default String template() {
    return definition().template();
  }
}
