package verbenahatch.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
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

  /** Value of SO_LINGER with which a close resets the connection. */
  private static final int LINGER_RESET = 0;

  /** Value of SO_LINGER with which a close sends what was written and ends the connection. */
  private static final int LINGER_DISABLED = -1;

  private final Response response;
  private final SocketChannel channel;

  private CloseDelimitedResponse(Response response, SocketChannel channel) {
    this.response = response;
    this.channel = channel;
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
    Object transport = request.getConnectionMetaData().getConnection().getEndPoint().getTransport();
    return transport instanceof SocketChannel socket
        ? new CloseDelimitedResponse(response, socket)
        : response;
  }

  private static boolean hasNoContent(int status) {
    return HttpStatus.isInformational(status)
        || status == HttpStatus.NO_CONTENT_204
        || status == HttpStatus.NOT_MODIFIED_304;
  }

  @Override
  public void write(boolean last, ByteBuffer content, Callback callback) {
    if (!last) {
      setLinger(LINGER_RESET, callback, () -> response.write(false, content, callback));
    } else if (!response.isCommitted()) {
      // The server knows the length of content that is written at once, and declares it.
      response.write(true, content, callback);
    } else {
      response.write(
          false,
          content,
          Callback.from(
              () ->
                  setLinger(
                      LINGER_DISABLED,
                      callback,
                      () -> response.write(true, BufferUtil.EMPTY_BUFFER, callback)),
              callback::failed));
    }
  }

  private void setLinger(int seconds, Callback callback, Runnable next) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, seconds);
    } catch (IOException e) {
      callback.failed(e);
      return;
    }
    next.run();
  }
}
