package verbenahatch.steering;

import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** Tells how the end of a target's response is recognised. */
enum ResponseFraming {
  /** By its length, which is zero for a response without a body. */
  LENGTH,
  /** By its last chunk. */
  CHUNKED,
  /** By the end of the connection, which may also be due to a fault. */
  UNTIL_CLOSE;

  /**
   * Returns the framing of a response.
   *
   * @param method the method of the request
   * @param status the HTTP status of the response
   * @param fields the header fields of the response
   */
  static ResponseFraming of(String method, int status, HttpFields fields) {
    if (HttpMethod.HEAD.is(method) || HttpStatus.hasNoBody(status)) {
      return LENGTH;
    }
    if (fields.contains(HttpHeader.TRANSFER_ENCODING)) {
      return CHUNKED;
    }
    return fields.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : UNTIL_CLOSE;
  }

  /** Returns the name in metrics. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
