package verbenahatch.kernel;

/** Reports that a plug-in cannot start. */
public final class PluginException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong
   */
  public PluginException(String message) {
    super(message);
  }

  /**
   * Creates the exception with a cause.
   *
   * @param message what is wrong
   * @param cause the exception of the layer below
   */
  public PluginException(String message, Throwable cause) {
    super(message, cause);
  }
}
