package verbenahatch.kernel;

import org.tinylog.Logger;

/**
 * Writes numbered events to the log.
 *
 * <p>Each line starts with {@code VH-<number>}. Arguments must never contain a caller's key.
 */
public interface Events {

  /**
   * Returns a writer that logs events through tinylog.
   *
   * @return a thread-safe writer
   */
  static Events tinylog() {
    return (code, args) -> {
      String message = "VH-" + code.number() + " " + code.template();
      switch (code.level()) {
        case INFO -> Logger.info(message, args);
        case WARN -> Logger.warn(message, args);
        default -> Logger.error(message, args);
      }
    };
  }

  /**
   * Returns a writer that discards every event.
   *
   * @return a thread-safe writer
   */
  static Events none() {
    return (code, args) -> {};
  }

  /**
   * Writes one event.
   *
   * @param code the type of the event, not null
   * @param args one argument per placeholder of the template
   */
  void log(EventCode code, Object... args);
}
