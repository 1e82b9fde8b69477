package verbenahatch.steering;

import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;

/** Tells how a caller recognizes the end of a response. */
enum ResponseDelimiter {
  /** The response has a content length. */
  LENGTH,
  /** The response ends with its last chunk. */
  CHUNKED,
  /** The response ends with the connection, so that only a reset shows an early end. */
  UNTIL_CLOSE;

  /**
   * Returns how to mark the end of a streamed response.
   *
   * @param request the request of the caller
   * @param fields the header fields of the response
   */
  static ResponseDelimiter of(Request request, HttpFields fields) {
    if (fields.contains(HttpHeader.CONTENT_LENGTH)) {
      return LENGTH;
    }
    boolean acceptsChunks =
        request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
    return acceptsChunks ? CHUNKED : UNTIL_CLOSE;
  }

  /** Returns the name in logs. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
