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
   * Wraps a value.
   *
   * @param <T> the type of the value
   * @param <E> the type of the error
   * @param value the value, not null
   * @return a success
   */
  static <T, E> Result<T, E> ok(T value) {
    return new Ok<>(value);
  }

  /**
   * Wraps an error.
   *
   * @param <T> the type of the value
   * @param <E> the type of the error
   * @param error the error, not null
   * @return a failure
   */
  static <T, E> Result<T, E> err(E error) {
    return new Err<>(error);
  }

  /**
   * Tells whether this is a success.
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
   * Converts the value of a success; a failure stays as it is.
   *
   * @param <U> the type of the new value
   * @param convert the conversion, not null
   * @return the converted result
   */
  default <U> Result<U, E> map(Function<? super T, ? extends U> convert) {
    if (this instanceof Ok<T, E> ok) {
      return ok(convert.apply(ok.value()));
    }
    return err(error());
  }

  /**
   * Converts the error of a failure, as a layer does with the errors of the layer below.
   *
   * @param <F> the type of the new error
   * @param convert the conversion, not null
   * @return the converted result
   */
  default <F> Result<T, F> mapError(Function<? super E, ? extends F> convert) {
    if (this instanceof Err<T, E> err) {
      return err(convert.apply(err.error()));
    }
    return ok(get());
  }
}
