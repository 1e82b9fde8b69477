package verbenahatch.kernel;

/** Reports text that is not valid JSON or does not fit the expected type. */
public final class JsonException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the fault and, if known, its line and column
   * @param cause the exception of the JSON library
   */
  public JsonException(String message, Throwable cause) {
    super(message, cause);
  }
}
