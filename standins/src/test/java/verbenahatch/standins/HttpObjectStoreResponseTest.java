package verbenahatch.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Result;
import verbenahatch.store.HttpObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;

/** Guards against a call that returns a part of its response, or the response to another call. */
class HttpObjectStoreResponseTest {

  /** Long enough that a cold start does not exceed it. */
  private static final Duration TIMEOUT = Duration.ofMillis(2_000);

  private static final String OBJECT =
      "{\"name\":\"a\",\"value\":\"QUJD\",\"version\":7,\"writeId\":\"w1\"}";

  /** Writes the responses of a connection. */
  private interface Script {

    /** Handles a request; returns false to close the connection. */
    boolean handle(String requestLine, Socket socket) throws IOException;
  }

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ServerSocket server;
  private HttpObjectStore store;

  @BeforeEach
  void open() throws Exception {
    server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    store = new HttpObjectStore(List.of("http://127.0.0.1:" + server.getLocalPort()), TIMEOUT);
  }

  @AfterEach
  void close() throws Exception {
    store.close();
    server.close();
    threads.shutdownNow();
  }

  private void serve(Script script) {
    threads.execute(
        () -> {
          try {
            while (true) {
              Socket socket = server.accept();
              threads.execute(() -> serve(socket, script));
            }
          } catch (IOException e) {
            // The test has ended.
          }
        });
  }

  private static void serve(Socket socket, Script script) {
    try (socket) {
      String line = readRequest(socket.getInputStream());
      while (!line.isEmpty() && script.handle(line, socket)) {
        line = readRequest(socket.getInputStream());
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static String readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.substring(0, head.indexOf("\r\n"));
  }

  private static boolean write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return true;
  }

  private static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  @ParameterizedTest
  @CsvSource({"0, false", "1, false", "20, false", "20, true", "50, false", "50, true"})
  void partOfResponseIsNoResponse(int bytes, boolean reset) {
    serve(
        (line, socket) -> {
          write(socket, "HTTP/1.1 200 OK\r\n\r\n" + OBJECT.substring(0, bytes));
          if (reset) {
            socket.setSoLinger(true, 0);
          }
          return false;
        });
    assertInstanceOf(StoreError.Unavailable.class, store.get("a").error());
    assertInstanceOf(StoreError.Unavailable.class, store.list("a").error());
    assertInstanceOf(StoreError.Unsettled.class, store.put("a", new byte[0], 0, "w1").error());
  }

  /** A write was reported as not done on the word of a response that is none. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999", "20", "0200", "2x0", "101", "199"})
  void responseWithInvalidStatusTellsNothing(String status) {
    String head = "HTTP/1.1 " + status + " X\r\nContent-Length: ";
    String body = "{\"reason\":\"x\",\"currentVersion\":1,\"written\":false}";
    serve((line, socket) -> write(socket, head + body.length() + "\r\n\r\n" + body));
    assertInstanceOf(StoreError.Unavailable.class, store.get("a").error());
    assertInstanceOf(StoreError.Unsettled.class, store.put("a", new byte[0], 0, "w1").error());
    assertInstanceOf(StoreError.Unsettled.class, store.delete("a", 1, "w1").error());
  }

  /** The copy of a response to one call was taken for that to another if it came late. */
  @ParameterizedTest
  @ValueSource(strings = {"get", "put", "delete"})
  void copyIsNotTheResponseToTheNextCall(String call) {
    serve(
        (line, socket) -> {
          write(socket, ok(OBJECT));
          readRequest(socket.getInputStream());
          return write(socket, ok(OBJECT));
        });
    assertTrue(store.get("a").isOk());
    Result<?, StoreError> second =
        switch (call) {
          case "get" -> store.get("b");
          case "put" -> store.put("a", new byte[0], 7, "w2");
          default -> store.delete("a", 7, "w2");
        };
    Class<?> expected =
        call.equals("get") ? StoreError.Unavailable.class : StoreError.Unsettled.class;
    assertInstanceOf(expected, second.error());
  }

  /** A head was kept whatever its length, until the call timed out. */
  @Test
  void headWithoutEndIsCutOff() throws Exception {
    String field = "X-Field: value\r\n".repeat(4_096);
    serve(
        (line, socket) -> {
          write(socket, "HTTP/1.1 200 OK\r\n");
          while (true) {
            write(socket, field);
          }
        });
    long startNanos = System.nanoTime();
    Result<StoredObject, StoreError> result = store.get("a");
    assertInstanceOf(StoreError.Unavailable.class, result.error());
    assertEquals(-1, String.valueOf(result.error()).indexOf("timed out"), "read until the timeout");
    assertTrue(System.nanoTime() - startNanos < TIMEOUT.toNanos());
  }
}
