package verbenahatch.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Target that writes raw bytes chosen by a test, so that responses can be malformed in any way. */
final class ScriptedTarget implements AutoCloseable {

  /** Decides how to respond to a request. */
  interface Script {

    /**
     * Handles one request.
     *
     * @param requestHead the request line and header lines
     * @param socket the connection
     * @return false to close the connection
     * @throws IOException if the connection fails
     */
    boolean handle(String requestHead, Socket socket) throws IOException;
  }

  private static final String POLL_RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"inFlight\":0,\"slots\":3}";

  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final Script script;
  final List<String> requestHeads = new java.util.concurrent.CopyOnWriteArrayList<>();

  private final boolean skipsBody;

  /** Whether the response to a poll is sent once more when the next request has arrived. */
  volatile boolean repeatsPollResponses;

  final AtomicInteger polls = new AtomicInteger();

  ScriptedTarget(Script script) throws IOException {
    this(script, true);
  }

  ScriptedTarget(Script script, boolean skipsBody) throws IOException {
    this.script = script;
    this.skipsBody = skipsBody;
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  static ScriptedTarget respondingWith(String body) throws IOException {
    return new ScriptedTarget(
        (requestHead, socket) -> write(socket, okResponse(requestHead, body)));
  }

  static boolean write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return true;
  }

  /** Waits until a test counts down a latch. */
  static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static String okResponse(String requestHead, String body) {
    return "HTTP/1.1 200 OK\r\n"
        + "Verbenahatch-Request-Id: "
        + header(requestHead, "verbenahatch-request-id")
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  static String header(String requestHead, String name) {
    for (String line : requestHead.split("\r\n", -1)) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return "";
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    try {
      while (!listener.isClosed()) {
        Socket socket = listener.accept();
        sockets.add(socket);
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      String copy = "";
      for (String requestHead = readRequestHead(in);
          !requestHead.isEmpty();
          requestHead = readRequestHead(in)) {
        if (requestHead.startsWith("GET /load ") || requestHead.startsWith("GET /health ")) {
          copy = POLL_RESPONSE;
          write(socket, copy);
          polls.incrementAndGet();
          continue;
        }
        if (repeatsPollResponses) {
          write(socket, copy);
          copy = "";
        }
        requestHeads.add(requestHead);
        String length = header(requestHead, "content-length");
        if (skipsBody && !length.isEmpty()) {
          in.skipNBytes(Long.parseLong(length));
        }
        if (!script.handle(requestHead, socket)) {
          return;
        }
      }
    } catch (IOException e) {
      // The gateway closed the connection.
    }
  }

  private static String readRequestHead(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      text.append((char) next);
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    threads.shutdownNow();
  }
}
