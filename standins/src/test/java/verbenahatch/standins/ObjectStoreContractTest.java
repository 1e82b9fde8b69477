package verbenahatch.standins;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Closer;
import verbenahatch.store.HttpObjectStore;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/** Guards against differences in behaviour between the in-memory store and the HTTP client. */
class ObjectStoreContractTest {

  private static final Duration LONG_WAIT = Duration.ofSeconds(20);
  private static final Duration NO_WAIT = Duration.ZERO;

  private final Closer closer = new Closer();
  private final InMemoryObjectStore memory = new InMemoryObjectStore();

  @AfterEach
  void close() throws Exception {
    closer.close();
  }

  private ObjectStore open(String kind) throws IOException {
    if (kind.equals("memory")) {
      return closer.register(memory);
    }
    PlatformServer server = closer.register(new PlatformServer(0, memory));
    return closer.register(new HttpObjectStore(List.of(server.url()), Duration.ofSeconds(5)));
  }

  /** Guards against a write that overwrites another without a conflict being reported. */
  @ParameterizedTest
  @ValueSource(strings = {"memory", "http"})
  void refusesWriteWithOtherVersion(String kind) throws Exception {
    ObjectStore store = open(kind);
    long first = store.put("a/x", new byte[] {1}, 0, "w1").get().version();
    assertEquals(
        new StoreError.Conflict("a/x", first), store.put("a/x", new byte[] {2}, 0, "w2").error());
    long second = store.put("a/x", new byte[] {3}, first, "w3").get().version();
    assertEquals(
        new StoreError.Conflict("a/x", second),
        store.put("a/x", new byte[] {4}, first, "w4").error());
    StoredObject object = store.get("a/x").get();
    assertArrayEquals(new byte[] {3}, object.value());
    assertEquals("w3", object.writeId());
    assertEquals(new StoreError.Conflict("a/x", second), store.delete("a/x", first, "w5").error());
    assertEquals(true, store.delete("a/x", second, "w6").get());
    assertEquals(new StoreError.NotFound("a/x"), store.get("a/x").error());
  }

  /** Guards against a resumed watch that misses or repeats changes or returns other prefixes. */
  @ParameterizedTest
  @ValueSource(strings = {"memory", "http"})
  void resumesWatch(String kind) throws Exception {
    ObjectStore store = open(kind);
    final long firstVersion = store.put("a/1", new byte[0], 0, "w1").get().version();
    WatchBatch first = store.watch("a/", 0, NO_WAIT).get();
    assertEquals(List.of("a/1"), names(first));
    store.put("b/1", new byte[0], 0, "w2");
    store.put("a/2", new byte[0], 0, "w3");
    store.delete("a/1", firstVersion, "w4");
    WatchBatch second = store.watch("a/", first.resumeVersion(), NO_WAIT).get();
    assertEquals(List.of("a/2"), names(second));
    assertEquals(List.of("a/1"), second.deleted());
    WatchBatch third = store.watch("a/", second.resumeVersion(), NO_WAIT).get();
    assertEquals(List.of(), names(third));
    assertEquals(List.of(), third.deleted());
  }

  /** Guards against a watch that polls, counts more than once, or misses a change while waiting. */
  @ParameterizedTest
  @ValueSource(strings = {"memory", "http"})
  void completesWaitingWatchWithOneCall(String kind) throws Exception {
    ObjectStore store = open(kind);
    CompletableFuture<WatchBatch> waiting =
        CompletableFuture.supplyAsync(() -> store.watch("a/", 0, LONG_WAIT).get());
    while (memory.count(InMemoryObjectStore.Call.WATCH) == 0) {
      Thread.onSpinWait();
    }
    store.put("a/1", new byte[0], 0, "w1");
    assertEquals(List.of("a/1"), names(waiting.get(10, TimeUnit.SECONDS)));
    assertEquals(1, memory.count(InMemoryObjectStore.Call.WATCH));
  }

  /** Guards against an outage that blocks callers, looks like an empty result or does not end. */
  @ParameterizedTest
  @ValueSource(strings = {"memory", "http"})
  void reportsOutage(String kind) throws Exception {
    ObjectStore store = open(kind);
    store.put("a/1", new byte[0], 0, "w1");
    memory.setFaults(StoreFaults.DOWN);
    assertInstanceOf(StoreError.Unavailable.class, store.get("a/1").error());
    assertInstanceOf(StoreError.Unavailable.class, store.list("a/").error());
    assertInstanceOf(StoreError.Unavailable.class, store.put("a/2", new byte[0], 0, "w2").error());
    assertInstanceOf(StoreError.Unavailable.class, store.watch("a/", 99, LONG_WAIT).error());
    memory.setFaults(StoreFaults.NONE);
    assertEquals(1, store.list("a/").get().size());
  }

  /** Guards against stale-read and restore faults that have no effect on the tests using them. */
  @ParameterizedTest
  @ValueSource(strings = {"memory", "http"})
  void returnsOlderStates(String kind) throws Exception {
    ObjectStore store = open(kind);
    long first = store.put("a/1", new byte[] {1}, 0, "w1").get().version();
    final InMemoryObjectStore.Snapshot snapshot = memory.snapshot();
    memory.setFaults(StoreFaults.stale());
    long second = store.put("a/1", new byte[] {2}, first, "w2").get().version();
    assertEquals(first, store.get("a/1").get().version());
    memory.setFaults(StoreFaults.NONE);
    assertEquals(second, store.get("a/1").get().version());
    memory.restore(snapshot);
    WatchBatch batch = store.watch("a/", second, LONG_WAIT).get();
    assertEquals(first, batch.resumeVersion());
    assertEquals("w1", batch.changed().get(0).writeId());
  }

  private static List<String> names(WatchBatch batch) {
    return batch.changed().stream().map(StoredObject::name).toList();
  }
}
