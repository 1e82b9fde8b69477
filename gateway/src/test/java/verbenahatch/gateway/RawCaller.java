package verbenahatch.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that sends raw bytes to the gateway, so that requests can be malformed. */
final class RawCaller implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private final Socket socket;

  RawCaller(int port) throws IOException {
    socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
  }

  Socket socket() {
    return socket;
  }

  RawCaller send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return this;
  }

  /** Reads until the text contains a marker or the connection ends, and returns the text. */
  String readUntil(String marker) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    while (text.indexOf(marker) < 0) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      text.append((char) next);
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
