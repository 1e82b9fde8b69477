package verbenahatch.steering.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static verbenahatch.steering.feed.FeedSamples.revision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.StoreRevision;

/** Guards against changes that a host publishes wrongly or not at all. */
class FeedLogTest {

  private final FeedLog<String> log = new FeedLog<>();

  private static Changes<String> written(long revision, String... names) {
    Map<String, String> objects = new HashMap<>();
    for (String name : names) {
      objects.put(name, name + revision);
    }
    return new Changes<>(objects, Set.of(), revision(revision), revision(revision));
  }

  private static Changes<String> gone(long revision, String... names) {
    return new Changes<>(Map.of(), Set.of(names), revision(revision), revision(revision));
  }

  private Map<String, String> currentObjects() {
    Changes<String> all = log.all();
    return all == null ? Map.of() : all.written();
  }

  @Test
  void holdsNothingBeforeTheFirstList() {
    assertNull(log.all());
    assertNull(log.since(revision(0)));
  }

  @Test
  void mergesChangesAfterOneRevision() {
    log.apply(written(5, "a", "b"), true);
    log.apply(written(6, "c"), false);
    log.apply(gone(8, "a", "c"), false);
    Changes<String> changes = log.since(revision(5));
    assertNotNull(changes);
    assertEquals(Map.of(), changes.written());
    assertEquals(Set.of("a", "c"), changes.gone());
    assertEquals(revision(8), changes.revision());
    assertEquals(
        new Changes<>(Map.of(), Set.of(), revision(8), revision(8)), log.since(revision(8)));
  }

  /** Followers must also receive removals that happened in a gap, which only a list shows. */
  @Test
  void listIsRecordedAsDifference() {
    log.apply(written(5, "a", "b"), true);
    log.apply(
        new Changes<>(Map.of("b", "b5", "c", "c9"), Set.of(), revision(9), revision(9)), true);
    Changes<String> changes = log.since(revision(5));
    assertNotNull(changes);
    assertEquals(Map.of("c", "c9"), changes.written());
    assertEquals(Set.of("a"), changes.gone());
  }

  @Test
  void oldRevisionsAreNoLongerKept() {
    log.apply(written(5, "a"), true);
    assertNull(log.since(revision(4)));
    for (int i = 6; i < 200; i++) {
      log.apply(written(i, "a"), false);
    }
    assertNull(log.since(revision(6)));
    assertNotNull(log.since(revision(198)));
  }

  /** A host that has read in another era than the publisher must list again. */
  @Test
  void changesOfAnotherEraAreNotKept() {
    log.apply(written(5, "a"), true);
    log.apply(written(9, "a"), false);
    StoreRevision restored = new StoreRevision(1, 7);
    log.apply(new Changes<>(Map.of("b", "b"), Set.of(), restored, restored), true);
    assertNull(log.since(revision(9)));
    assertNull(log.since(new StoreRevision(2, 7)));
    assertEquals(new Changes<>(Map.of(), Set.of(), restored, restored), log.since(restored));
    assertEquals(Map.of("b", "b"), currentObjects());
  }

  /** A follower that applies the returned changes holds the same objects, whatever it missed. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void followerHoldsTheSameObjects(long seed) {
    Random random = new Random(seed);
    Map<String, String> followerObjects = new HashMap<>();
    long followerRevision = -1;
    log.apply(written(1, "a", "b"), true);
    for (long revision = 2; revision < 150; revision++) {
      String name = String.valueOf((char) ('a' + random.nextInt(6)));
      boolean list = random.nextInt(10) == 0;
      if (list) {
        Map<String, String> objects = new HashMap<>(currentObjects());
        objects.remove(name);
        log.apply(new Changes<>(objects, Set.of(), revision(revision), revision(revision)), true);
      } else {
        boolean isRemoval = random.nextInt(3) == 0;
        log.apply(isRemoval ? gone(revision, name) : written(revision, name), false);
      }
      if (random.nextInt(3) == 0) {
        Changes<String> changes =
            followerRevision < 0 ? null : log.since(revision(followerRevision));
        if (changes == null) {
          changes =
              new Changes<>(currentObjects(), Set.of(), revision(revision), revision(revision));
          followerObjects.clear();
        }
        followerObjects.putAll(changes.written());
        followerObjects.keySet().removeAll(new HashSet<>(changes.gone()));
        followerRevision = changes.revision().number();
        assertEquals(currentObjects(), followerObjects);
      }
    }
  }
}
