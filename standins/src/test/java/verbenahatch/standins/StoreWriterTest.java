package verbenahatch.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Result;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoreWriter;
import verbenahatch.store.StoredObject;
import verbenahatch.store.UpdateError;

/** Guards against writes that are lost, applied twice or reported with a wrong outcome. */
class StoreWriterTest {

  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final StoreWriter writer = new StoreWriter(store);

  /** Guards against a write that took effect and is reported as lost, or is written twice. */
  @Test
  void settlesWriteWithLostResponse() {
    store.setFaults(StoreFaults.losingAnswers(1));
    StoredObject written = writer.put("a", new byte[] {1}, 0).get();
    assertEquals(written, store.get("a").get());
    assertEquals(1, store.count(InMemoryObjectStore.Call.PUT));
  }

  /** Guards against a lost write that is reported as done, or that is not retried. */
  @Test
  void retriesLostRequest() {
    store.setFaults(StoreFaults.losingRequests(1));
    StoredObject written = writer.put("a", new byte[] {1}, 0).get();
    assertEquals(written, store.get("a").get());
    assertEquals(2, store.count(InMemoryObjectStore.Call.PUT));
  }

  /** Guards against a stale read that hides a write which took effect. */
  @Test
  void keepsUnsettledWhileReadsAreStale() {
    store.setFaults(new StoreFaults(false, 0, true, 1, 0, false));
    StoreError error = writer.put("a", new byte[] {1}, 0).error();
    assertInstanceOf(StoreError.Unsettled.class, error);
    store.setFaults(StoreFaults.NONE);
    String writeId = ((StoreError.Unsettled) error).writeId();
    assertTrue(writer.settle("a", new byte[] {1}, 0, writeId).isOk());
  }

  /** Guards against reporting no write while a lost write may have been replaced by another. */
  @Test
  void keepsUnsettledWhenReplaced() {
    long other = store.put("a", new byte[] {9}, 0, "other").get().version();
    assertTrue(other > 0);
    StoreError error = writer.settle("a", new byte[] {1}, 0, "mine").error();
    assertEquals(new StoreError.Unsettled("a", "mine"), error);
  }

  /** Guards against a deletion with a lost response that is reported as failed. */
  @Test
  void settlesDeletionWithLostResponse() {
    long version = store.put("a", new byte[0], 0, "w").get().version();
    store.setFaults(StoreFaults.losingAnswers(1));
    assertEquals(true, writer.delete("a", version).get());
  }

  /** Guards against increments that are lost or applied twice by concurrent writers. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void countsEachUpdateOnce(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<CompletableFuture<Integer>> writers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      SplittableRandom writerRandom = random.split();
      StoreWriter concurrentWriter =
          new StoreWriter(store, writerRandom::nextLong, nanos -> Thread.yield());
      writers.add(
          CompletableFuture.supplyAsync(
              () -> {
                int done = 0;
                for (int n = 0; n < 20; n++) {
                  if (writerRandom.nextInt(4) == 0) {
                    store.setFaults(StoreFaults.losingAnswers(1));
                  }
                  done += concurrentWriter.update("n", StoreWriterTest::increment).isOk() ? 1 : 0;
                }
                return done;
              }));
    }
    int done = writers.stream().mapToInt(CompletableFuture::join).sum();
    int storedCount = store.get("n").get().value()[0];
    assertTrue(
        storedCount >= done && storedCount <= 80,
        "seed " + seed + ": " + done + ", " + storedCount);
    assertEquals(storedCount, store.get("n").get().version(), "seed " + seed);
  }

  private static Result<byte[], String> increment(Optional<StoredObject> current) {
    int value = current.map(object -> (int) object.value()[0]).orElse(0);
    return Result.ok(new byte[] {(byte) (value + 1)});
  }

  /** Guards against unlimited attempts, and against a write despite a refusal by the update. */
  @Test
  void boundsAttemptsAndPassesRefusals() {
    int[] attempts = new int[1];
    Result<StoredObject, UpdateError<String>> result =
        new StoreWriter(store, new SplittableRandom(1)::nextLong, nanos -> {})
            .update(
                "a",
                current -> {
                  attempts[0]++;
                  long version = current.map(StoredObject::version).orElse(0L);
                  store.put("a", new byte[] {(byte) attempts[0]}, version, "other");
                  return Result.ok(new byte[] {0});
                });
    assertInstanceOf(UpdateError.Failed.class, result.error());
    assertEquals(8, attempts[0]);
    assertEquals(
        new UpdateError.Refused<>("no"), writer.update("a", current -> Result.err("no")).error());
  }
}
