package verbenahatch.store;

import verbenahatch.kernel.EventCode;

/** Events of the store adapter. */
public enum StoreEvent implements EventCode {
  /** Calls succeed again after a failure. */
  STORE_REACHED(2001, Level.INFO, "object store answers"),
  /** A call failed while the calls before succeeded. */
  STORE_UNREACHABLE(2002, Level.WARN, "object store does not answer: {}");

  private final int number;
  private final Level level;
  private final String template;

  StoreEvent(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return level;
  }

  @Override
  public String template() {
    return template;
  }
}
