package verbenahatch.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Caller that sends raw bytes to the gateway, so that requests can be malformed. */
final class RawCaller implements AutoCloseable {

  /** What was read of a response until the connection ended. */
  record Received(String head, byte[] body, boolean reset) {

    boolean isChunked() {
      return head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
    }

    boolean looksComplete() {
      String text = new String(body, StandardCharsets.ISO_8859_1);
      String length = ScriptedTarget.header(head, "content-length");
      if (!length.isEmpty()) {
        return body.length >= Integer.parseInt(length);
      }
      return isChunked() ? text.endsWith("0\r\n\r\n") : !reset;
    }
  }

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

  /** Reads up to the end of the connection, which may be a reset. */
  Received readToEnd(String head) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[8_192];
    try {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        body.write(buffer, 0, count);
      }
      return new Received(head, body.toByteArray(), false);
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      return new Received(head, body.toByteArray(), true);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
