package verbenahatch.gateway;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Hands out chunks of a body only after their bytes were taken from the cap of a link. */
final class MeteredContent implements Request.Content {

  private final Content.Source source;
  private final LinkMeter meter;
  private Content.@Nullable Chunk held;

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
    Content.Chunk chunk = held;
    if (chunk == null) {
      chunk = source.read();
    }
    if (chunk == null || !chunk.hasRemaining() || meter.trySpend(chunk.remaining())) {
      held = null;
      return chunk;
    }
    held = chunk;
    return null;
  }

  @Override
  public void demand(Runnable demandCallback) {
    Content.Chunk chunk = held;
    if (chunk == null) {
      source.demand(demandCallback);
      return;
    }
    meter.await(
        chunk.remaining(),
        failure -> {
          if (failure != null) {
            chunk.release();
            held = Content.Chunk.from(failure, true);
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
    Content.Chunk chunk = held;
    held = null;
    if (chunk != null) {
      chunk.release();
    }
    source.fail(failure, last);
  }
}
