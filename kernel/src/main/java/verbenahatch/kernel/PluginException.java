package verbenahatch.kernel;

/** Reports that a plug-in cannot start. */
public final class PluginException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the reason why the plug-in cannot start
   */
  public PluginException(String message) {
    super(message);
  }

  /**
   * Creates the exception with a cause.
   *
   * @param message the reason why the plug-in cannot start
   * @param cause the exception that prevented the start
   */
  public PluginException(String message, Throwable cause) {
    super(message, cause);
  }
}
