package verbenahatch.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Result;
import verbenahatch.store.HttpObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoreWriter;
import verbenahatch.store.StoredObject;

/** Guards against HTTP store calls that block or report a wrong outcome when the store fails. */
class HttpObjectStoreTest {

  /** Elapses on purpose in some tests; long enough that a cold start does not exceed it. */
  private static final Duration TIMEOUT = Duration.ofMillis(2_000);

  private final Closer closer = new Closer();
  private final InMemoryObjectStore memory = new InMemoryObjectStore();
  private PlatformServer server;

  @BeforeEach
  void open() throws Exception {
    server = closer.register(new PlatformServer(0, memory));
  }

  @AfterEach
  void close() throws Exception {
    closer.close();
  }

  private HttpObjectStore connect(String... urls) {
    return closer.register(new HttpObjectStore(List.of(urls), TIMEOUT));
  }

  /** Guards against a lost response that is treated as a failure, so that the write is retried. */
  @Test
  void reportsWriteWithLostResponseAsUnsettled() {
    HttpObjectStore store = connect(server.url());
    server.setFaults(StoreFaults.losingAnswers(1));
    assertEquals(new StoreError.Unsettled("a", "w1"), store.put("a", new byte[0], 0, "w1").error());
    assertEquals("w1", store.get("a").get().writeId());
  }

  /** Guards against a slow store that blocks callers, and a late write reported as not done. */
  @Test
  void boundsDurationOfSlowCalls() {
    HttpObjectStore store = connect(server.url());
    server.setFaults(StoreFaults.slow(60_000));
    long start = System.nanoTime();
    assertEquals(new StoreError.Unsettled("a", "w1"), store.put("a", new byte[0], 0, "w1").error());
    assertInstanceOf(StoreError.Unavailable.class, store.get("a").error());
    assertTrue(System.nanoTime() - start < Duration.ofSeconds(10).toNanos());
  }

  /** Guards against a write that was never sent and yet is reported as possibly done. */
  @Test
  void reportsUnsentWriteAsUnavailable() throws Exception {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = socket.getLocalPort();
    }
    String unreachableUrl = "http://127.0.0.1:" + closedPort;
    assertInstanceOf(
        StoreError.Unavailable.class,
        connect(unreachableUrl).put("a", new byte[0], 0, "w1").error());
    assertTrue(connect(unreachableUrl, server.url()).put("a", new byte[0], 0, "w2").isOk());
  }

  /** Guards against one timeout per pooled connection after all open ones stop responding. */
  @Test
  void discardsSilentConnectionsAfterOneTimeout() {
    HttpObjectStore store = connect(server.url());
    memory.put("a", new byte[0], 0, "w1");
    memory.setFaults(StoreFaults.slow(100));
    List<CompletableFuture<Result<StoredObject, StoreError>>> calls = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      calls.add(CompletableFuture.supplyAsync(() -> store.get("a")));
    }
    calls.forEach(call -> assertTrue(call.join().isOk()));
    server.setFaults(new StoreFaults(false, 0, false, 0, 0, true));
    assertInstanceOf(StoreError.Unavailable.class, store.get("a").error());
    assertTrue(store.get("a").isOk());
  }

  /** Guards against a lost HTTP response after which the writer does not settle the write. */
  @Test
  void settlesWriteWithLostResponse() {
    HttpObjectStore store = connect(server.url());
    server.setFaults(StoreFaults.losingAnswers(1));
    assertTrue(new StoreWriter(store).put("a", new byte[0], 0).isOk());
    assertEquals(1, memory.count(InMemoryObjectStore.Call.PUT));
  }
}
