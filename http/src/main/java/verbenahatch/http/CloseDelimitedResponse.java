package verbenahatch.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Response that only the end of the connection delimits, for a caller of HTTP/1.0.
 *
 * <p>Until its last byte is written, a close of the connection resets it, because an orderly close
 * would make a part of the response look complete.
 */
public final class CloseDelimitedResponse implements Content.Sink {

  private final Response response;
  private final EndPoint endPoint;

  private CloseDelimitedResponse(Response response, EndPoint endPoint) {
    this.response = response;
    this.endPoint = endPoint;
  }

  /**
   * Returns where to write the content of a response, so that its caller detects an early end.
   *
   * <p>A response of HTTP/1.1 without a declared length is sent in chunks, also if the connection
   * closes after it.
   *
   * @param request the request, not null
   * @param response its response, of which status and fields are set and nothing is written
   * @return the response itself if its end is known without that of the connection
   */
  public static Content.Sink of(Request request, Response response) {
    HttpVersion version = request.getConnectionMetaData().getHttpVersion();
    if (version.getVersion() > HttpVersion.HTTP_1_1.getVersion()
        || HttpMethod.HEAD.is(request.getMethod())
        || hasNoContent(response.getStatus())
        || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
      return response;
    }
    if (version == HttpVersion.HTTP_1_1) {
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
      return response;
    }
    return new CloseDelimitedResponse(
        response, request.getConnectionMetaData().getConnection().getEndPoint());
  }

  private static boolean hasNoContent(int status) {
    return HttpStatus.isInformational(status)
        || status == HttpStatus.NO_CONTENT_204
        || status == HttpStatus.NOT_MODIFIED_304;
  }

  @Override
  public void write(boolean last, ByteBuffer content, Callback callback) {
    if (!last) {
      writePart(content, callback);
    } else if (!response.isCommitted()) {
      // The server knows the length of content that is written at once, and declares it.
      response.write(true, content, callback);
    } else {
      response.write(false, content, Callback.from(() -> writeEnd(callback), callback::failed));
    }
  }

  private void writePart(ByteBuffer content, Callback callback) {
    try {
      ResetOnClose.enable(endPoint);
    } catch (IOException e) {
      callback.failed(e);
      return;
    }
    response.write(false, content, callback);
  }

  private void writeEnd(Callback callback) {
    try {
      ResetOnClose.disable(endPoint);
    } catch (IOException e) {
      callback.failed(e);
      return;
    }
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
  }
}
