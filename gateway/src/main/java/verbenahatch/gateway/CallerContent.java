package verbenahatch.gateway;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.Trailers;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/**
 * Streams the body of a caller's request to a target and removes keys from its trailers.
 *
 * <p>Reads from the caller only when the connection to the target can accept more, so that a slow
 * target applies back-pressure to the caller and the body is not buffered in memory.
 */
final class CallerContent implements Request.Content {

  private final Content.Source source;
  private final long length;
  private final @Nullable String key;
  private final Runnable onEnd;
  private Content.@Nullable Chunk first;
  private volatile boolean readStarted;
  private volatile HttpFields trailers = HttpFields.EMPTY;

  CallerContent(
      Content.Source source,
      long length,
      Content.@Nullable Chunk first,
      @Nullable String key,
      Runnable onEnd) {
    this.source = source;
    this.length = length;
    this.first = first;
    this.key = key;
    this.onEnd = onEnd;
  }

  /**
   * Returns whether reading from the caller has begun, after which the body cannot be sent again.
   */
  boolean isReadStarted() {
    return readStarted;
  }

  HttpFields trailers() {
    return trailers;
  }

  @Override
  public long getLength() {
    return length;
  }

  @Override
  public Content.@Nullable Chunk read() {
    readStarted = true;
    Content.Chunk chunk = first;
    if (chunk != null) {
      first = null;
    } else {
      chunk = source.read();
    }
    if (chunk instanceof Trailers trailerChunk) {
      trailers = HeaderRules.filterTrailers(trailerChunk.getTrailers(), key);
      onEnd.run();
      return Content.Chunk.EOF;
    }
    if (chunk != null && chunk.isLast() && !Content.Chunk.isFailure(chunk)) {
      onEnd.run();
    }
    return chunk;
  }

  @Override
  public void demand(Runnable demandCallback) {
    source.demand(demandCallback);
  }

  @Override
  public void fail(Throwable failure) {
    // If this attempt read nothing, the body stays available to the next attempt.
    if (readStarted) {
      source.fail(failure);
    }
  }

  @Override
  public void fail(Throwable failure, boolean last) {
    if (readStarted) {
      source.fail(failure, last);
    }
  }
}
