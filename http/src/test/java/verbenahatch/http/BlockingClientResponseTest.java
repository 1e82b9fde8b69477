package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.http.BlockingClient.Outcome;

/** Guards against a call that returns a part of its response, or the response to another call. */
class BlockingClientResponseTest {

  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  private static final String OWN = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";

  /** Writes the responses of a connection. */
  private interface Script {

    /** Handles a request; returns false to close the connection. */
    boolean handle(String path, Socket socket) throws IOException;
  }

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ServerSocket server;
  private BlockingClient client;

  @BeforeEach
  void open() throws Exception {
    server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    client = new BlockingClient("test", 1_000, 5_000, MAX_RESPONSE_BYTES);
  }

  @AfterEach
  void close() throws Exception {
    client.close();
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
      String path = readPath(socket.getInputStream());
      while (!path.isEmpty() && script.handle(path, socket)) {
        path = readPath(socket.getInputStream());
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static String readPath(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.substring(head.indexOf("/"), head.indexOf(" HTTP/"));
  }

  private static boolean write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return true;
  }

  private Outcome call(String path) {
    return client.call(client.newRequest("127.0.0.1", server.getLocalPort()).path(path), 2_000);
  }

  /** A part may be a valid document, for example a shorter list. */
  @ParameterizedTest
  @CsvSource({
    "'', false",
    "'', true",
    "'Content-Length: 20\r\n', false",
    "'Content-Length: 20\r\n', true",
    "'Transfer-Encoding: gzip\r\n', false",
    "'Connection: close\r\n', false",
    "'Connection: close\r\n', true"
  })
  void partOfResponseIsNoResponse(String field, boolean reset) {
    serve(
        (path, socket) -> {
          write(socket, "HTTP/1.1 200 OK\r\n" + field + "\r\n{\"items\":[]}");
          if (reset) {
            socket.setSoLinger(true, 0);
          }
          return false;
        });
    assertInstanceOf(Outcome.NoResponse.class, call("/a"));
  }

  /** A part of a response that ended an upload early was a valid document for its reader. */
  @ParameterizedTest
  @CsvSource({"0, ''", "1500000, ''", "3000000, ''", "0, chunked", "1500000, chunked"})
  void partOfResponseDuringUploadIsNoResponse(int readBytes, String encoding) {
    String chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n";
    serve(
        (path, socket) -> {
          socket.getInputStream().skipNBytes(readBytes);
          write(socket, "HTTP/1.1 200 OK\r\n" + (encoding.isEmpty() ? "\r\n{}" : chunked));
          socket.setSoLinger(true, 0);
          return false;
        });
    Request upload =
        client
            .newRequest("127.0.0.1", server.getLocalPort())
            .method("PUT")
            .body(new BytesRequestContent(new byte[3_000_000]));
    assertInstanceOf(Outcome.NoResponse.class, client.call(upload, 2_000));
  }

  /** 600 and 999 were returned as statuses of the server. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999", "20", "0200", "2x0", "101", "199"})
  void responseWithInvalidStatusIsNoResponse(String status) {
    serve(
        (path, socket) ->
            write(socket, "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}"));
    assertInstanceOf(Outcome.NoResponse.class, call("/a"));
  }

  /** The status alone is the response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "204 X\r\n",
        "304 X\r\n",
        "200 X\r\nContent-Length: 0\r\n",
        "503 X\r\nConnection: close\r\n"
      })
  void responseWithoutBodyIsComplete(String response) {
    serve(
        (path, socket) ->
            write(socket, "HTTP/1.1 " + response + "\r\n") && !response.contains("close"));
    assertEquals(0, assertInstanceOf(Outcome.Received.class, call("/a")).body().length);
  }

  /** A copy that arrives between two calls belongs to none of them. */
  @ParameterizedTest
  @ValueSource(strings = {"200 OK", "409 X", "503 X"})
  void copyBetweenCallsIsDiscarded(String status) {
    String copy = copy(status);
    serve(
        (path, socket) -> {
          if (path.equals("/first")) {
            return write(socket, copy + copy);
          }
          return write(socket, OWN);
        });
    call("/first");
    assertOwn(call("/second"));
  }

  /**
   * The copy of a response is taken for the response to the next call if it arrives after that call
   * was sent, because responses have no id.
   */
  @ParameterizedTest
  @ValueSource(strings = {"200 OK", "409 X", "503 X"})
  @EnabledIfSystemProperty(named = "knownRed", matches = "BlockingClientResponseTest")
  void copyIsNotTheResponseToTheNextCall(String status) {
    String copy = copy(status);
    serve(
        (path, socket) -> {
          if (path.equals("/first")) {
            write(socket, copy);
            readPath(socket.getInputStream());
            write(socket, copy);
          }
          return write(socket, OWN);
        });
    call("/first");
    assertOwn(call("/second"));
  }

  private static String copy(String status) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\ncopy";
  }

  private static void assertOwn(Outcome outcome) {
    if (outcome instanceof Outcome.Received received) {
      assertEquals("own", new String(received.body(), StandardCharsets.US_ASCII));
    }
  }
}
