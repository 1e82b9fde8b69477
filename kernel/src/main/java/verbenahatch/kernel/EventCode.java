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
   * Returns the number of the event.
   *
   * @return a positive number inside the range of the module
   */
  int number();

  /**
   * Returns the severity.
   *
   * @return the severity
   */
  Level level();

  /**
   * Returns the message with one {@code {}} per argument.
   *
   * @return the template
   */
  String template();
}
