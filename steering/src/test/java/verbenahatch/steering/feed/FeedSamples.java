package verbenahatch.steering.feed;

import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.steering.model.StoreRevision;

/** Supplies samples for tests of feeds. */
final class FeedSamples {

  /** Sources of a host that reads the store itself and knows no other host. */
  static final FeedSources ALONE = new FixedSources(null, null);

  private FeedSamples() {}

  /** Sources that do not change. */
  record FixedSources(@Nullable String relay, @Nullable String substitute) implements FeedSources {}

  /** Returns a revision of a store without eras. */
  static StoreRevision revision(long number) {
    return new StoreRevision(0, number);
  }

  static FeedContext context(FeedSources sources) {
    return new FeedContext(
        Clock.system(),
        Events.none(),
        new PeerFeeds(),
        sources,
        new StoreEras((era, previous) -> {}));
  }
}
