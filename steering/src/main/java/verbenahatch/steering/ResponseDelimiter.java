package verbenahatch.steering;

import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;

/** Tells how a caller recognizes the end of a response. */
enum ResponseDelimiter {
  /** The response has a content length. */
  LENGTH,
  /** The response ends with its last chunk. */
  CHUNKED,
  /** The response ends with the connection. */
  UNTIL_CLOSE;

  /**
   * Returns how the end of a response is marked.
   *
   * @param request the request of the caller
   * @param fields the header fields of the response
   */
  static ResponseDelimiter of(Request request, HttpFields fields) {
    if (fields.contains(HttpHeader.CONTENT_LENGTH)) {
      return LENGTH;
    }
    boolean persistent =
        request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1
            && !isClosed(request.getHeaders())
            && !isClosed(fields);
    return persistent ? CHUNKED : UNTIL_CLOSE;
  }

  private static boolean isClosed(HttpFields fields) {
    return fields.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
  }

  /** Returns the name in logs. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
