package verbenahatch.limits;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import org.jspecify.annotations.Nullable;

/** Parses messages from other hosts. */
final class Messages {

  private Messages() {}

  /** Parses a message; returns null if the bytes are not a valid message. */
  static <T> @Nullable T read(Parser<T> parser, byte[] body) {
    try {
      return parser.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return null;
    }
  }
}
