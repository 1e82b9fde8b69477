package verbenahatch.gateway;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Body whose chunks can be read only after their bytes were taken from the limit of a link. */
final class MeteredContent implements Request.Content {

  private final Content.Source source;
  private final LinkMeter meter;
  private Content.@Nullable Chunk pendingChunk;

  MeteredContent(Content.Source source, LinkMeter meter) {
    this.source = source;
    this.meter = meter;
  }

  @Override
  public long getLength() {
    return source.getLength();
  }

  @Override
  public Content.@Nullable Chunk read() {
    Content.Chunk chunk = pendingChunk;
    if (chunk == null) {
      chunk = source.read();
    }
    if (chunk == null || !chunk.hasRemaining() || meter.trySpend(chunk.remaining())) {
      pendingChunk = null;
      return chunk;
    }
    pendingChunk = chunk;
    return null;
  }

  @Override
  public void demand(Runnable demandCallback) {
    Content.Chunk chunk = pendingChunk;
    if (chunk == null) {
      source.demand(demandCallback);
      return;
    }
    meter.await(
        chunk.remaining(),
        failure -> {
          if (failure != null) {
            chunk.release();
            pendingChunk = Content.Chunk.from(failure, true);
          }
          demandCallback.run();
        });
  }

  @Override
  public void fail(Throwable failure) {
    fail(failure, true);
  }

  @Override
  public void fail(Throwable failure, boolean last) {
    Content.Chunk chunk = pendingChunk;
    pendingChunk = null;
    if (chunk != null) {
      chunk.release();
    }
    source.fail(failure, last);
  }
}
