package verbenahatch.admin;

import java.util.Optional;
import java.util.function.Function;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoreWriter;
import verbenahatch.store.StoredObject;
import verbenahatch.store.UpdateError;

/** Reads and updates JSON objects in the store and maps store errors to API errors. */
final class JsonObjects {

  private final ObjectStore store;
  private final StoreWriter writer;

  JsonObjects(ObjectStore store) {
    this.store = store;
    this.writer = new StoreWriter(store);
  }

  ObjectStore store() {
    return store;
  }

  /** Reads an object; empty if the store holds none of this name. */
  <T> Result<Optional<T>, AdminError> read(String name, Class<T> type) {
    Result<StoredObject, StoreError> stored = store.get(name);
    if (!stored.isOk()) {
      return stored.error() instanceof StoreError.NotFound
          ? Result.ok(Optional.empty())
          : Result.err(toAdminError(stored.error()));
    }
    return parse(stored.get(), type).map(Optional::of);
  }

  /**
   * Updates an object and returns the value that the store holds afterwards.
   *
   * @param change maps the stored value, empty if there is none, to the new one; may refuse with an
   *     error, which is returned
   */
  <T> Result<T, AdminError> update(
      String name, Class<T> type, Function<Optional<T>, Result<T, AdminError>> change) {
    Result<StoredObject, UpdateError<AdminError>> written =
        writer.update(name, current -> apply(current, type, change));
    if (!written.isOk()) {
      UpdateError<AdminError> error = written.error();
      if (error instanceof UpdateError.Refused<AdminError> refused) {
        return Result.err(refused.reason());
      }
      return Result.err(toAdminError(((UpdateError.Failed<AdminError>) error).error()));
    }
    return parse(written.get(), type);
  }

  private static <T> Result<byte[], AdminError> apply(
      Optional<StoredObject> current,
      Class<T> type,
      Function<Optional<T>, Result<T, AdminError>> change) {
    Optional<T> value = Optional.empty();
    if (current.isPresent()) {
      Result<T, AdminError> parsed = parse(current.get(), type);
      if (!parsed.isOk()) {
        return Result.err(parsed.error());
      }
      value = Optional.of(parsed.get());
    }
    Optional<T> previous = value;
    Result<T, AdminError> changed = change.apply(previous);
    // An unchanged value keeps its stored bytes, so that nothing is written.
    if (changed.isOk()
        && current.isPresent()
        && previous.filter(changed.get()::equals).isPresent()) {
      return Result.ok(current.get().value());
    }
    return changed.map(Json::write);
  }

  private static <T> Result<T, AdminError> parse(StoredObject object, Class<T> type) {
    try {
      return Result.ok(Json.read(object.value(), type));
    } catch (JsonException e) {
      return Result.err(
          new AdminError.Unavailable(object.name() + " in the store cannot be parsed: " + e));
    }
  }

  static AdminError toAdminError(StoreError error) {
    if (error instanceof StoreError.NotFound notFound) {
      return new AdminError.NotFound(notFound.name());
    }
    if (error instanceof StoreError.Unavailable unavailable) {
      return new AdminError.Unavailable("store: " + unavailable.reason());
    }
    if (error instanceof StoreError.Conflict conflict) {
      return new AdminError.Busy(
          "every attempt to write "
              + conflict.name()
              + " conflicted with another writer; nothing was changed");
    }
    if (error instanceof StoreError.Unsettled unsettled) {
      return new AdminError.Unsettled(unsettled.name(), "read the object again before you retry");
    }
    return AdminError.BadInput.of(
        "$", ((StoreError.Invalid) error).reason(), "at most 1 MB as compact JSON");
  }
}
