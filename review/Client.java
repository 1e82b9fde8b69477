import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Sends single requests as a client does, each on a connection of its own. */
final class Client {
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffL);

  /** What became of one request. */
  static final class Sent {
    final String id = String.format("%016x", 0x7e57000000000000L + IDS.incrementAndGet());
    String front;
    String line;
    long sentNanos;
    long endNanos;
    boolean written;
    int status;
    String end = "";
  }

  private Client() {}

  /** Asks a directory; returns the addresses. */
  static List<String> resolve(String directory, String region, String zone) throws IOException {
    try (Socket socket = connect(directory, 1_000)) {
      String head =
          "GET /resolve?name=orders.example&region="
              + region
              + "&zone="
              + zone
              + " HTTP/1.1\r\nHost: orders.example\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
      List<String> addresses = new ArrayList<>();
      if (answer != null && answer.status() == 200) {
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        Matcher address = Pattern.compile("\"(\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+)\"").matcher(text);
        while (address.find()) {
          addresses.add(address.group(1));
        }
      }
      return addresses;
    }
  }

  static Socket connect(String address, int timeoutMillis) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        timeoutMillis);
    return socket;
  }

  /** Sends a request with a body and waits for its end. */
  static Sent send(String front, String method, String path, long deadlineMillis, byte[] body) {
    return sendAndWait(front, method, path, deadlineMillis, deadlineMillis, body);
  }

  /** The same, but waits longer than the deadline that the request names. */
  static Sent sendAndWait(
      String front, String method, String path, long deadlineMillis, long waitMillis, byte[] body) {
    Sent sent = new Sent();
    sent.front = front;
    sent.line = method + " " + path;
    sent.sentNanos = System.nanoTime();
    try (Socket socket = connect(front, 1_000)) {
      socket.setSoTimeout((int) waitMillis);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: orders.example\r\n"
              + ("Verbenahatch-Request-Id: " + sent.id + "\r\n")
              + ("Verbenahatch-Deadline-Ms: " + deadlineMillis + "\r\n")
              + (body == null ? "\r\n" : "Content-Length: " + body.length + "\r\n\r\n");
      byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
      byte[] all =
          java.util.Arrays.copyOf(headBytes, headBytes.length + (body == null ? 0 : body.length));
      if (body != null) {
        System.arraycopy(body, 0, all, headBytes.length, body.length);
      }
      socket.getOutputStream().write(all);
      sent.written = true;
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
      if (answer == null) {
        sent.end = "closed without an answer";
      } else {
        sent.status = answer.status();
        sent.end = "answered";
      }
    } catch (java.net.SocketTimeoutException e) {
      sent.end = sent.written ? "gave up at its deadline" : "no connection";
    } catch (IOException e) {
      sent.end = sent.written ? "cut: " + e.getMessage() : "no connection: " + e.getMessage();
    }
    sent.endNanos = System.nanoTime();
    return sent;
  }
}
