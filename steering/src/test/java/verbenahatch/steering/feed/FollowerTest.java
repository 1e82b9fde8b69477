package verbenahatch.steering.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Result;
import verbenahatch.steering.model.Feed;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.Feed.FeedError;
import verbenahatch.steering.model.StoreRevision;

/** Guards against changes that are missed or undone at gaps in a feed. */
class FollowerTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final Queue<Result<Changes<String>, FeedError>> lists = new ArrayDeque<>();
  private final Queue<Result<Changes<String>, FeedError>> watches = new ArrayDeque<>();
  private final CountDownLatch exhausted = new CountDownLatch(1);
  private final List<String> applied = new CopyOnWriteArrayList<>();
  private final List<Boolean> reachable = new CopyOnWriteArrayList<>();

  private final class ScriptedFeed implements Feed<String> {
    @Override
    public Result<Changes<String>, FeedError> list() {
      return next(lists);
    }

    @Override
    public Result<Changes<String>, FeedError> watch(StoreRevision revision, Duration maxWait) {
      return next(watches);
    }

    private Result<Changes<String>, FeedError> next(
        Queue<Result<Changes<String>, FeedError>> queue) {
      Result<Changes<String>, FeedError> result = queue.poll();
      if (result == null) {
        exhausted.countDown();
        return Result.err(new FeedError.Unavailable("end of script"));
      }
      return result;
    }
  }

  private static Result<Changes<String>, FeedError> changes(long revision, String... names) {
    return changes(FeedSamples.revision(revision), names);
  }

  private static Result<Changes<String>, FeedError> changes(
      StoreRevision revision, String... names) {
    Map<String, String> written = new java.util.TreeMap<>();
    for (String name : names) {
      written.put(name, name);
    }
    return Result.ok(new Changes<>(written, Set.of(), revision, revision));
  }

  private void runScript() throws InterruptedException {
    Follower<String> follower =
        new Follower<>(
            "test",
            new ScriptedFeed(),
            new ZoneMessages(),
            FeedSamples.context(FeedSamples.ALONE),
            (changes, complete) -> applied.add((complete ? "all " : "") + changes.written()),
            reachable::add);
    follower.start();
    assertTrue(exhausted.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    follower.close();
  }

  @Test
  void listsAgainWhenHistoryIsGone() throws InterruptedException {
    lists.add(changes(5, "a"));
    watches.add(Result.err(new FeedError.HistoryGone()));
    lists.add(changes(9, "a", "b"));
    runScript();
    assertEquals(List.of("all {a=a}", "all {a=a, b=b}"), applied);
  }

  /** A list of a lagging store must not undo changes that a watch has already returned. */
  @Test
  void staleListIsNotApplied() throws InterruptedException {
    lists.add(changes(5, "a"));
    watches.add(changes(8, "b"));
    watches.add(Result.err(new FeedError.HistoryGone()));
    lists.add(changes(6, "a"));
    lists.add(changes(8, "a", "b"));
    runScript();
    assertEquals(List.of("all {a=a}", "{b=b}", "all {a=a, b=b}"), applied);
  }

  /**
   * A restored store issues revisions again; its list, however low its revision, is newer, and a
   * response that was sent before the restore is older.
   */
  @Test
  void newEraIsListedFromScratch() throws InterruptedException {
    lists.add(changes(new StoreRevision(3, 50), "a"));
    watches.add(changes(new StoreRevision(4, 60), "reissued"));
    lists.add(changes(new StoreRevision(3, 70), "old"));
    watches.add(changes(new StoreRevision(4, 80), "reissued"));
    lists.add(changes(new StoreRevision(4, 20), "b"));
    watches.add(changes(new StoreRevision(3, 80), "late"));
    lists.add(changes(new StoreRevision(3, 90), "late"));
    lists.add(changes(new StoreRevision(4, 21), "c"));
    runScript();
    assertEquals(List.of("all {a=a}", "all {old=old}", "all {b=b}", "all {c=c}"), applied);
  }

  @Test
  void outageIsReportedOnceAndItsEndToo() throws InterruptedException {
    lists.add(changes(5, "a"));
    watches.add(Result.err(new FeedError.Unavailable("down")));
    lists.add(Result.err(new FeedError.Unavailable("down")));
    lists.add(changes(6, "a"));
    runScript();
    // The follower continues after the script and reports the next loss.
    assertEquals(List.of(true, false, true), List.copyOf(reachable).subList(0, 3));
  }
}
