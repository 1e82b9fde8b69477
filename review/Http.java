import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {
  private Http() {}

  /** A message; fields are in lower case, the last of several with one name counts. */
  record Message(String startLine, Map<String, String> fields, long bodyLength, byte[] body) {
    String header(String name) {
      return fields.get(name);
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }
  }

  /** Returns the next message, null if the connection ended before its first byte. */
  static Message read(InputStream in, boolean isRequest) throws IOException {
    String startLine = line(in, true);
    if (startLine == null) {
      return null;
    }
    Map<String, String> fields = new TreeMap<>();
    for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
      int colon = line.indexOf(':');
      fields.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream kept = new ByteArrayOutputStream();
    long length = 0;
    if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
      while (true) {
        int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
        length += size;
        copy(in, size, kept);
        line(in, false);
        if (size == 0) {
          break;
        }
      }
    } else if (fields.containsKey("content-length")) {
      length = Long.parseLong(fields.get("content-length"));
      copy(in, length, kept);
    } else if (!isRequest) {
      kept.writeBytes(in.readAllBytes());
      length = kept.size();
    }
    return new Message(startLine, fields, length, kept.toByteArray());
  }

  /** Copies bytes, of which the first 4 KB are kept. */
  private static void copy(InputStream in, long count, ByteArrayOutputStream kept)
      throws IOException {
    byte[] buffer = new byte[64 * 1024];
    long left = count;
    while (left > 0) {
      int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (read < 0) {
        throw new EOFException("body ended early");
      }
      left -= read;
      kept.write(buffer, 0, Math.min(read, Math.max(0, 4_096 - kept.size())));
    }
  }

  private static String line(InputStream in, boolean first) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (first && bytes.size() == 0) {
          return null;
        }
        throw new EOFException("head ended early");
      }
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
  }
}
