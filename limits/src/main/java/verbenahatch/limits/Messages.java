package verbenahatch.limits;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import org.jspecify.annotations.Nullable;

/** Reads messages of other hosts. */
final class Messages {

  private Messages() {}

  /** Reads a message; null if the bytes are none. */
  static <T> @Nullable T read(Parser<T> parser, byte[] body) {
    try {
      return parser.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return null;
    }
  }
}
