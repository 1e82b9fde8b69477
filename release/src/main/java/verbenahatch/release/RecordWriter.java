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

/** Writes the record of a release unless another host has changed it since the decision. */
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
   * @return true if it was written; otherwise the exposure stays unchanged
   */
  boolean write(
      ActiveRelease release,
      ReleaseRecord.State state,
      int stage,
      double exposure,
      long nowMillis,
      String reason) {
    String id = release.plan().id();
    ReleaseRecord expected = release.record();
    ReleaseRecord[] written = new ReleaseRecord[1];
    Result<StoredObject, UpdateError<String>> result =
        store.update(
            ReleaseRecord.nameOf(release.plan().service()),
            current -> {
              Result<ReleaseRecord, String> nextRecord =
                  nextGeneration(current, release, expected)
                      .map(
                          generation ->
                              new ReleaseRecord(
                                  generation, id, state, stage, exposure, nowMillis, reason));
              if (nextRecord.isOk()) {
                written[0] = nextRecord.get();
              }
              return nextRecord.map(Json::write);
            });
    if (!result.isOk()) {
      logFailureOnce(id, String.valueOf(result.error()));
      return false;
    }
    lastFailure = "";
    release.adopt(written[0]);
    return true;
  }

  /** Returns the generation of the next record, or the reason why none may be written. */
  private static Result<Long, String> nextGeneration(
      Optional<StoredObject> current, ActiveRelease release, @Nullable ReleaseRecord expected) {
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
    if (sameRelease && (expected == null || stored.generation() != expected.generation())) {
      release.adopt(stored);
      return Result.err("another host wrote generation " + stored.generation());
    }
    return Result.ok(stored.generation() + 1);
  }

  private void logFailureOnce(String release, String failure) {
    if (!failure.equals(lastFailure)) {
      lastFailure = failure;
      events.log(ReleaseEvent.RECORD_NOT_WRITTEN, release, failure);
    }
  }
}
