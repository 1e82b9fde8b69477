package verbenahatch.steering.feed;

import org.jspecify.annotations.Nullable;

/**
 * Selects the source from which this host reads the feeds of the store.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface FeedSources {

  /**
   * Returns the host that reads the store for this one.
   *
   * @return its address for peers, IP number and port; null if this host reads the store itself
   */
  @Nullable String relay();

  /**
   * Returns a host that reads the feeds from the store, for use while this host cannot reach it.
   *
   * @return its address for peers, IP number and port; null if there is none
   */
  @Nullable String substitute();
}
