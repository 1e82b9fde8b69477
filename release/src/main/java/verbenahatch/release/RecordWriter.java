package verbenahatch.release;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.store.StoreWriter;
import verbenahatch.store.StoredObject;
import verbenahatch.store.UpdateError;

/** Writes the record of a release if nobody has moved it since the decision. */
final class RecordWriter {

  private final StoreWriter store;
  private final Events events;
  private String lastFailure = "";

  RecordWriter(StoreWriter store, Events events) {
    this.store = store;
    this.events = events;
  }

  /**
   * Writes the next record and adopts it.
   *
   * @return true if it was written; otherwise the exposure stays as it is
   */
  boolean write(
      ActiveRelease release,
      ReleaseRecord.State state,
      int stage,
      double exposure,
      long nowMillis,
      String reason) {
    String id = release.plan().id();
    ReleaseRecord seen = release.record();
    ReleaseRecord[] next = new ReleaseRecord[1];
    Result<StoredObject, UpdateError<String>> result =
        store.update(
            ReleaseRecord.nameOf(release.plan().service()),
            current -> {
              Result<ReleaseRecord, String> built =
                  build(current, release, seen)
                      .map(
                          generation ->
                              new ReleaseRecord(
                                  generation, id, state, stage, exposure, nowMillis, reason));
              if (built.isOk()) {
                next[0] = built.get();
              }
              return built.map(Json::write);
            });
    if (!result.isOk()) {
      reportOnce(id, String.valueOf(result.error()));
      return false;
    }
    lastFailure = "";
    release.adopt(next[0]);
    return true;
  }

  /** Returns the generation of the next record, or why none may be written. */
  private static Result<Long, String> build(
      Optional<StoredObject> current, ActiveRelease release, @Nullable ReleaseRecord seen) {
    if (current.isEmpty()) {
      return Result.ok(1L);
    }
    ReleaseRecord stored;
    try {
      stored = Json.read(current.get().value(), ReleaseRecord.class);
    } catch (JsonException e) {
      return Result.err("the record in the store is unreadable: " + e.getMessage());
    }
    boolean sameRelease = stored.release().equals(release.plan().id());
    if (sameRelease && (seen == null || stored.generation() != seen.generation())) {
      release.adopt(stored);
      return Result.err("another host wrote generation " + stored.generation());
    }
    return Result.ok(stored.generation() + 1);
  }

  private void reportOnce(String release, String failure) {
    if (!failure.equals(lastFailure)) {
      lastFailure = failure;
      events.log(ReleaseEvent.RECORD_NOT_WRITTEN, release, failure);
    }
  }
}
