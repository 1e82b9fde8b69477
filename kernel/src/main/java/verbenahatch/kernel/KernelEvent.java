package verbenahatch.kernel;

/** Log events of the kernel. */
public enum KernelEvent implements EventCode {
  /** A plug-in has started. */
  PLUGIN_STARTED(1001, Level.INFO, "plug-in {} started"),
  /** A plug-in did not start, so the process stops. */
  PLUGIN_FAILED(1002, Level.ERROR, "plug-in {} failed to start: {}"),
  /** A resource threw an exception while being closed. */
  CLOSE_FAILED(1003, Level.WARN, "a resource failed to close: {}"),
  /** A periodic task threw an exception; it runs again at its next time. */
  TASK_FAILED(1004, Level.ERROR, "task {} failed: {}");

  private final Definition definition;

  KernelEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
