package verbenahatch.kernel;

/**
 * Identifies a type of log event.
 *
 * <p>Each module implements it by one enum. Numbers are unique over all modules and never reused;
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
   * @param number the event number, positive and within the range of the module
   * @param level the severity
   * @param template the message with one {@code {}} placeholder per argument
   */
  record Definition(int number, Level level, String template) {}

  /**
   * Returns the definition of the event.
   *
   * @return the number, level and template
   */
  Definition definition();

  /**
   * Returns the number of the event.
   *
   * @return a positive number within the range of the module
   */
  default int number() {
    return definition().number();
  }

  /**
   * Returns the severity of the event.
   *
   * @return the severity
   */
  default Level level() {
    return definition().level();
  }

  /**
   * Returns the message with one {@code {}} placeholder per argument.
   *
   * @return the template
   */
  default String template() {
    return definition().template();
  }
}
