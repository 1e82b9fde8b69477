package verbenahatch.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a workspace that makes others wait, and against hopeless waits. */
class FairQueueTest {

  private static final long FAR = Long.MAX_VALUE / 2;
  private static final long MILLI = 1_000_000;

  private final FairQueue<String> queue = new FairQueue<>(100, MILLI);
  private final List<String> late = new ArrayList<>();

  @Test
  void noisyWorkspaceDoesNotDelayOthers() {
    for (int i = 0; i < 50; i++) {
      queue.offer("noisy", 1, "noisy" + i, FAR, 0);
    }
    queue.offer("quiet", 1, "quiet", FAR, 0);
    Set<String> first = new HashSet<>();
    first.add(String.valueOf(queue.poll(0, late)));
    first.add(String.valueOf(queue.poll(0, late)));
    assertEquals(Set.of("noisy0", "quiet"), first);
  }

  @Test
  void servesInProportionToWeights() {
    for (int i = 0; i < 40; i++) {
      queue.offer("light", 1, "light", FAR, 0);
      queue.offer("heavy", 3, "heavy", FAR, 0);
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      served.merge(String.valueOf(queue.poll(0, late)), 1, Integer::sum);
    }
    assertEquals(30, served.getOrDefault("heavy", 0), 1);
  }

  @Test
  void fullQueueDisplacesTheLongestLine() {
    for (int i = 0; i < 100; i++) {
      queue.offer("noisy", 1, "noisy" + i, FAR, 0);
    }
    assertInstanceOf(FairQueue.OfferResult.Full.class, queue.offer("noisy", 1, "x", FAR, 0));
    assertEquals(
        new FairQueue.OfferResult.Queued<>("noisy99"), queue.offer("quiet", 1, "quiet", FAR, 0));
    assertEquals(100, queue.size());
  }

  @Test
  void refusesEarlyWhatCannotBeInTime() {
    for (int i = 0; i < 10; i++) {
      queue.offer("a", 1, "a" + i, FAR, 0);
    }
    assertInstanceOf(
        FairQueue.OfferResult.DeadlineUnreachable.class, queue.offer("a", 1, "late", 9 * MILLI, 0));
    assertInstanceOf(FairQueue.OfferResult.Queued.class, queue.offer("b", 1, "b", 9 * MILLI, 0));
  }

  @Test
  void dropsWhatBecameLate() {
    queue.offer("a", 1, "first", 2 * MILLI, 0);
    queue.offer("a", 1, "second", FAR, 0);
    assertEquals("second", queue.poll(3 * MILLI, late));
    assertEquals(List.of("first"), late);
    queue.offer("a", 1, "third", 90 * MILLI, 3 * MILLI);
    assertEquals(List.of("third"), queue.expire(91 * MILLI));
    assertNull(queue.poll(91 * MILLI, late));
    assertEquals(0, queue.size());
  }

  @Test
  void estimateFollowsThePaceOfDepartures() {
    for (int i = 0; i < 60; i++) {
      queue.offer("a", 1, "a" + i, FAR, 0);
    }
    for (int i = 0; i < 40; i++) {
      queue.poll(i * 10 * MILLI, late);
    }
    long now = 400 * MILLI;
    assertInstanceOf(
        FairQueue.OfferResult.DeadlineUnreachable.class,
        queue.offer("a", 1, "x", now + 150 * MILLI, now));
    assertInstanceOf(
        FairQueue.OfferResult.Queued.class, queue.offer("a", 1, "x", now + 250 * MILLI, now));
    assertTrue(queue.remove("a", "x"));
  }
}
