package verbenahatch.kernel;

import java.util.function.Function;

/**
 * Holds either a value or an error.
 *
 * @param <T> the type of the value
 * @param <E> the type of the error, a sealed type of the layer that reports it
 */
public sealed interface Result<T, E> {

  /**
   * Holds a value.
   *
   * @param <T> the type of the value
   * @param <E> the type of the error
   * @param value the value, not null
   */
  record Ok<T, E>(T value) implements Result<T, E> {}

  /**
   * Holds an error.
   *
   * @param <T> the type of the value
   * @param <E> the type of the error
   * @param error the error, not null
   */
  record Err<T, E>(E error) implements Result<T, E> {}

  /**
   * Creates a success.
   *
   * @param <T> the type of the value
   * @param <E> the type of the error
   * @param value the value, not null
   * @return a result that holds the value
   */
  static <T, E> Result<T, E> ok(T value) {
    return new Ok<>(value);
  }

  /**
   * Creates a failure.
   *
   * @param <T> the type of the value
   * @param <E> the type of the error
   * @param error the error, not null
   * @return a result that holds the error
   */
  static <T, E> Result<T, E> err(E error) {
    return new Err<>(error);
  }

  /**
   * Returns whether this is a success.
   *
   * @return true for {@link Ok}
   */
  default boolean isOk() {
    return this instanceof Ok;
  }

  /**
   * Returns the value.
   *
   * @return the value
   * @throws IllegalStateException if this is a failure
   */
  default T get() {
    if (this instanceof Ok<T, E> ok) {
      return ok.value();
    }
    throw new IllegalStateException("no value: " + this);
  }

  /**
   * Returns the error.
   *
   * @return the error
   * @throws IllegalStateException if this is a success
   */
  default E error() {
    if (this instanceof Err<T, E> err) {
      return err.error();
    }
    throw new IllegalStateException("no error: " + this);
  }

  /**
   * Converts the value of a success; the error of a failure is unchanged.
   *
   * @param <U> the type of the new value
   * @param converter the conversion, not null
   * @return the converted result
   */
  default <U> Result<U, E> map(Function<? super T, ? extends U> converter) {
    if (this instanceof Ok<T, E> ok) {
      return ok(converter.apply(ok.value()));
    }
    return err(error());
  }

  /**
   * Converts the error of a failure, for example to the error type of the calling layer; the value
   * of a success is unchanged.
   *
   * @param <F> the type of the new error
   * @param converter the conversion, not null
   * @return the converted result
   */
  default <F> Result<T, F> mapError(Function<? super E, ? extends F> converter) {
    if (this instanceof Err<T, E> err) {
      return err(converter.apply(err.error()));
    }
    return ok(get());
  }
}
