package verbenahatch.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Hashing;

/** Guards against objects that change targets without need, and shares unlike the slots. */
class TargetRankingTest {

  private static final long SEED = Long.getLong("seed", 7);

  /** Gives a target of 5 slots enough objects for a standard deviation of 1%. */
  private static final int OBJECTS_PER_SLOT = 2_200;

  private record Entry(String id, long key, int size, int[] load) {

    static Entry of(String id, int number, int size) {
      long key = TargetKey.hash("orders", "10.0.0.1", 1_000 + number, id);
      return new Entry(id, key, size, new int[1]);
    }

    static Entry of(int number, int size) {
      return of("t" + number, number, size);
    }

    Entry withSize(int newSize) {
      return new Entry(id, key, newSize, load);
    }
  }

  private static final TargetRanking<Entry> RANKING =
      new TargetRanking<>(
          new TargetRanking.View<>() {
            @Override
            public long keyHash(Entry entry) {
              return entry.key;
            }

            @Override
            public int size(Entry entry) {
              return entry.size;
            }

            @Override
            public double load(Entry entry) {
              return entry.load[0];
            }
          });

  private final SplittableRandom random = new SplittableRandom(SEED);

  /** Returns targets with 5 to 10 slots, of which the first one has a single slot. */
  private List<Entry> targets(int count) {
    List<Entry> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(Entry.of(i, i == 0 ? 1 : random.nextInt(5, 11)));
    }
    return targets;
  }

  private static List<Entry> without(List<Entry> targets, Entry removed) {
    List<Entry> rest = new ArrayList<>(targets);
    rest.remove(removed);
    return rest;
  }

  private static int totalSize(List<Entry> targets) {
    return targets.stream().mapToInt(Entry::size).sum();
  }

  private static Entry first(int object, List<Entry> targets) {
    return RANKING.first(Hashing.mix(object + SEED), targets, 1).get(0);
  }

  /** Requirement 1: an added or removed target must not move objects between other targets. */
  @ParameterizedTest
  @ValueSource(ints = {10, 92, 259})
  void addingOrRemovingOneTargetMovesOnlyItsShare(int count) {
    List<Entry> targets = targets(count);
    Entry changed = targets.get(count / 2);
    List<Entry> rest = without(targets, changed);
    int objects = OBJECTS_PER_SLOT * totalSize(targets) / 4;
    int moved = 0;
    for (int object = 0; object < objects; object++) {
      Entry with = first(object, targets);
      if (with != first(object, rest)) {
        assertEquals(changed, with);
        moved++;
      }
    }
    double least = (double) changed.size / totalSize(targets);
    assertTrue(moved <= 1.05 * least * objects, moved + " moved of " + objects);
  }

  /** Requirement 2: a target that is resized must get or lose just the difference of its shares. */
  @ParameterizedTest
  @ValueSource(ints = {10, 92, 259})
  void resizingOneTargetMovesOnlyTheDifference(int count) {
    List<Entry> targets = targets(count);
    Entry small = targets.get(1).withSize(3);
    Entry large = small.withSize(9);
    List<Entry> rest = without(targets, targets.get(1));
    List<Entry> before = new ArrayList<>(rest);
    before.add(small);
    List<Entry> after = new ArrayList<>(rest);
    after.add(large);
    int objects = OBJECTS_PER_SLOT * totalSize(targets) / 4;
    int moved = 0;
    for (int object = 0; object < objects; object++) {
      Entry newFirst = first(object, after);
      if (!newFirst.id.equals(first(object, before).id)) {
        assertEquals(large, newFirst);
        moved++;
      }
    }
    double difference = 9.0 / totalSize(after) - 3.0 / totalSize(before);
    assertEquals(difference * objects, moved, 0.05 * difference * objects);
  }

  /** Requirement 3: shares must follow the slots, or large targets idle while small ones queue. */
  @ParameterizedTest
  @ValueSource(ints = {10, 92, 259})
  void sharesFollowSlots(int count) {
    List<Entry> targets = targets(count);
    int objects = OBJECTS_PER_SLOT * totalSize(targets);
    Map<String, Integer> counts = new HashMap<>();
    for (int object = 0; object < objects; object++) {
      counts.merge(first(object, targets).id, 1, Integer::sum);
    }
    for (Entry target : targets) {
      double expected = (double) objects * target.size / totalSize(targets);
      double tolerance = target.size == 1 ? 0.1 : 0.03;
      assertEquals(expected, counts.getOrDefault(target.id, 0), tolerance * expected, target.id);
    }
  }

  /** Requirement 4: after a short absence, a target must get back what it has in its cache. */
  @ParameterizedTest
  @ValueSource(ints = {10, 92, 259})
  void returningTargetGetsBackItsObjects(int count) {
    List<Entry> targets = targets(count);
    Entry away = targets.get(count - 1);
    List<Entry> returned = without(targets, away);
    returned.add(0, away);
    for (int object = 0; object < 20_000; object++) {
      Entry before = first(object, targets);
      Entry during = first(object, without(targets, away));
      assertTrue(before == away || during == before);
      assertEquals(before, first(object, returned));
    }
  }

  /** Requirement 5: a target that registers again under a new id must keep its objects. */
  @Test
  void newEntryOfTheSameAddressKeepsItsObjects() {
    List<Entry> targets = targets(92);
    Entry old = targets.get(17);
    List<Entry> after = new ArrayList<>(targets);
    Entry renewed = Entry.of("renewed", 17, old.size);
    after.set(17, renewed);
    for (int object = 0; object < 20_000; object++) {
      Entry before = first(object, targets);
      assertEquals(before == old ? renewed : before, first(object, after));
    }
  }

  /** An entry without an address must not share a key, and its objects, with others like it. */
  @Test
  void entriesWithoutAddressAreRankedById() {
    assertTrue(TargetKey.hash("orders", "", 80, "a") != TargetKey.hash("orders", "", 80, "b"));
    assertTrue(TargetKey.hash("orders", "::1", 0, "a") != TargetKey.hash("orders", "::1", 0, "b"));
    assertEquals(
        TargetKey.hash("orders", "::1", 80, "a"), TargetKey.hash("orders", "::1", 80, "b"));
  }

  /** Requirement 6: a hot object must not load its target above its part of the mean load. */
  @ParameterizedTest
  @ValueSource(ints = {10, 92, 259})
  void boundedLoadSkipsTargetsAboveTheMean(int count) {
    List<Entry> targets = targets(count);
    int totalSize = totalSize(targets);
    List<Entry> running = new ArrayList<>();
    for (int i = 0; i < 20_000; i++) {
      // Every other request is for one hot object.
      int object = random.nextBoolean() ? 0 : random.nextInt(500);
      Entry chosen = RANKING.firstWithinBound(Hashing.mix(object), targets, 2).get(0);
      double mean = (running.size() + 1.0) / totalSize;
      chosen.load[0]++;
      running.add(chosen);
      assertTrue(chosen.load[0] <= Math.ceil(1.25 * mean * chosen.size), chosen + ", " + mean);
      if (running.size() > 2 * totalSize) {
        running.remove(random.nextInt(running.size())).load[0]--;
      }
    }
  }

  /** A target with a free slot must keep its objects at low load, and be bounded without one. */
  @Test
  void freeSlotsAreUsedAboveTheBound() {
    List<Entry> targets = targets(92);
    for (int object = 0; object < 1_000; object++) {
      long hash = Hashing.mix(object);
      List<Entry> ranked = RANKING.first(hash, targets, 2);
      Entry preferred = ranked.get(0);
      preferred.load[0] = preferred.size - 1;
      assertEquals(ranked, RANKING.firstWithRoom(hash, targets, 2));
      preferred.load[0] = preferred.size;
      assertEquals(ranked.get(1), RANKING.firstWithRoom(hash, targets, 2).get(0));
      preferred.load[0] = 0;
    }
  }

  /** A target within the bound keeps its objects, also when others are above the bound. */
  @Test
  void boundedLoadMovesNoObjectsOfOtherTargets() {
    List<Entry> targets = targets(92);
    Entry full = targets.get(40);
    full.load[0] = 1_000;
    for (int object = 0; object < 20_000; object++) {
      long hash = Hashing.mix(object);
      Entry preferred = RANKING.first(hash, targets, 1).get(0);
      List<Entry> ranked = RANKING.firstWithinBound(hash, targets, 92);
      assertEquals(preferred == full ? first2(hash, targets) : preferred, ranked.get(0));
      assertEquals(full, ranked.get(91));
    }
  }

  private static Entry first2(long hash, List<Entry> targets) {
    return RANKING.first(hash, targets, 2).get(1);
  }

  /** Requirement 7: hosts whose lists differ by a target must agree on all other objects. */
  @ParameterizedTest
  @ValueSource(ints = {10, 92, 259})
  void hostsThatAreOneChangeApartDifferOnlyInThatChange(int count) {
    List<Entry> targets = targets(count);
    Entry unknown = targets.get(1);
    List<Entry> others = without(targets, unknown);
    Collections.shuffle(others, new Random(SEED));
    for (int object = 0; object < 5_000; object++) {
      long hash = Hashing.mix(object);
      List<Entry> ranked = RANKING.first(hash, targets, 5);
      assertEquals(
          without(ranked, unknown).subList(0, 4), RANKING.first(hash, others, 5).subList(0, 4));
    }
  }

  /** Services with equal slots keep the order of the hash of key and object. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void equalSizesKeepTheOrderOfTheHash(int size) {
    List<Entry> targets = targets(50).stream().map(target -> target.withSize(size)).toList();
    for (int object = 0; object < 5_000; object++) {
      long hash = Hashing.mix(object);
      List<Entry> expected = new ArrayList<>(targets);
      expected.sort(Comparator.comparingLong(entry -> Hashing.mix(entry.key ^ hash)));
      assertEquals(expected, RANKING.first(hash, targets, 50));
      assertEquals(expected.subList(0, 3), RANKING.first(hash, targets, 3));
    }
  }

  /** A false entry must neither get all objects nor break the ranking. */
  @Test
  void falseSizesAndLoadsAreBounded() {
    assertEquals(List.of(), RANKING.first(1, List.of(), 3));
    assertEquals(List.of(), RANKING.firstWithinBound(1, List.of(), 3));
    assertEquals(List.of(), RANKING.first(1, targets(3), 0));
    assertEquals(List.of(), RANKING.firstWithinBound(1, targets(3), -1));
    Entry huge = Entry.of(1, Integer.MAX_VALUE);
    List<Entry> targets = List.of(Entry.of(0, 1), huge);
    List<Entry> invalid = List.of(Entry.of(0, Integer.MIN_VALUE), huge.withSize(1_024));
    huge.load[0] = Integer.MIN_VALUE;
    for (int object = 0; object < 20_000; object++) {
      assertEquals(first(object, targets).id, first(object, invalid).id);
      assertEquals(2, RANKING.firstWithinBound(object, targets, 9).size());
    }
  }
}
