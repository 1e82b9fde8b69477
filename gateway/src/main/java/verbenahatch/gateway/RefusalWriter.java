package verbenahatch.gateway;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import verbenahatch.kernel.Json;

/** Writes refusals as responses to callers. */
final class RefusalWriter {

  private RefusalWriter() {}

  private record Body(String code, String outcome, String message) {}

  /**
   * Writes a refusal and completes the exchange. Fails the callback if the response was begun.
   *
   * @param refusal the refusal to write
   * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; 0 if unknown
   */
  static void write(Response response, Callback callback, Refusal refusal, long retryAfterMillis) {
    write(response, callback, refusal, retryAfterMillis, 0);
  }

  /**
   * Writes a refusal and completes the exchange. Fails the callback if the response was begun.
   *
   * @param refusal the refusal to write
   * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; 0 if unknown
   * @param earlierRunStatus the HTTP status of an earlier run of the submission, 0 if there was
   *     none
   */
  static void write(
      Response response,
      Callback callback,
      Refusal refusal,
      long retryAfterMillis,
      int earlierRunStatus) {
    if (response.isCommitted()) {
      callback.failed(new IllegalStateException(refusal.code()));
      return;
    }
    response.reset();
    response.setStatus(refusal.status());
    response.getHeaders().put(HeaderNames.REASON, refusal.code());
    response.getHeaders().put(HeaderNames.OUTCOME, refusal.outcome().text());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    if (earlierRunStatus > 0) {
      response.getHeaders().put(HeaderNames.RUN_STATUS, earlierRunStatus);
    }
    if (refusal.status() == 401) {
      response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
    }
    if (retryAfterMillis > 0) {
      long seconds = Math.max(1, TimeUnit.MILLISECONDS.toSeconds(retryAfterMillis + 999));
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
    byte[] body = Json.write(new Body(refusal.code(), refusal.outcome().text(), refusal.message()));
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }
}
