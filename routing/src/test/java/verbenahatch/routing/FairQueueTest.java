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

/**
 * Guards against a workspace that delays others, and against waiting requests that cannot meet
 * their deadline.
 */
class FairQueueTest {

  private static final long NO_DEADLINE = Long.MAX_VALUE / 2;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final FairQueue<String> queue = new FairQueue<>(100, NANOS_PER_MILLI);
  private final List<String> expired = new ArrayList<>();

  @Test
  void noisyWorkspaceDoesNotDelayOthers() {
    for (int i = 0; i < 50; i++) {
      queue.offer("noisy", 1, "noisy" + i, NO_DEADLINE, 0);
    }
    queue.offer("quiet", 1, "quiet", NO_DEADLINE, 0);
    Set<String> first = new HashSet<>();
    first.add(String.valueOf(queue.poll(0, expired)));
    first.add(String.valueOf(queue.poll(0, expired)));
    assertEquals(Set.of("noisy0", "quiet"), first);
  }

  @Test
  void servesInProportionToWeights() {
    for (int i = 0; i < 40; i++) {
      queue.offer("light", 1, "light", NO_DEADLINE, 0);
      queue.offer("heavy", 3, "heavy", NO_DEADLINE, 0);
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      served.merge(String.valueOf(queue.poll(0, expired)), 1, Integer::sum);
    }
    assertEquals(30, served.getOrDefault("heavy", 0), 1);
  }

  @Test
  void fullQueueDisplacesRequestOfLongestWorkspaceQueue() {
    for (int i = 0; i < 100; i++) {
      queue.offer("noisy", 1, "noisy" + i, NO_DEADLINE, 0);
    }
    assertInstanceOf(
        FairQueue.OfferResult.Full.class, queue.offer("noisy", 1, "x", NO_DEADLINE, 0));
    assertEquals(
        new FairQueue.OfferResult.Queued<>("noisy99"),
        queue.offer("quiet", 1, "quiet", NO_DEADLINE, 0));
    assertEquals(100, queue.size());
  }

  @Test
  void refusesOnArrivalWhatCannotMeetItsDeadline() {
    for (int i = 0; i < 10; i++) {
      queue.offer("a", 1, "a" + i, NO_DEADLINE, 0);
    }
    assertInstanceOf(
        FairQueue.OfferResult.DeadlineUnreachable.class,
        queue.offer("a", 1, "late", 9 * NANOS_PER_MILLI, 0));
    assertInstanceOf(
        FairQueue.OfferResult.Queued.class, queue.offer("b", 1, "b", 9 * NANOS_PER_MILLI, 0));
  }

  @Test
  void removesExpiredRequests() {
    queue.offer("a", 1, "first", 2 * NANOS_PER_MILLI, 0);
    queue.offer("a", 1, "second", NO_DEADLINE, 0);
    assertEquals("second", queue.poll(3 * NANOS_PER_MILLI, expired));
    assertEquals(List.of("first"), expired);
    queue.offer("a", 1, "third", 90 * NANOS_PER_MILLI, 3 * NANOS_PER_MILLI);
    assertEquals(List.of("third"), queue.expire(91 * NANOS_PER_MILLI));
    assertNull(queue.poll(91 * NANOS_PER_MILLI, expired));
    assertEquals(0, queue.size());
  }

  @Test
  void estimateFollowsDepartureRate() {
    for (int i = 0; i < 60; i++) {
      queue.offer("a", 1, "a" + i, NO_DEADLINE, 0);
    }
    for (int i = 0; i < 40; i++) {
      queue.poll(i * 10 * NANOS_PER_MILLI, expired);
    }
    long now = 400 * NANOS_PER_MILLI;
    assertInstanceOf(
        FairQueue.OfferResult.DeadlineUnreachable.class,
        queue.offer("a", 1, "x", now + 150 * NANOS_PER_MILLI, now));
    assertInstanceOf(
        FairQueue.OfferResult.Queued.class,
        queue.offer("a", 1, "x", now + 250 * NANOS_PER_MILLI, now));
    assertTrue(queue.remove("a", "x"));
  }
}
