package verbenahatch.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LocalBucketTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static LocalBucket bucket(LimitKind kind, long rate, long burst, long tokens) {
    LocalBucket bucket = new LocalBucket(kind, 0);
    bucket.add(new Share(rate * Share.TOKEN, burst * Share.TOKEN, tokens * Share.TOKEN), 0);
    return bucket;
  }

  /** Guards against rounding errors of the refill when the bucket is read often. */
  @Test
  void refillIsExactHoweverOftenItIsRead() {
    LocalBucket bucket = bucket(LimitKind.REQUESTS, 3, 1000, 0);
    for (long now = 0; now <= 100 * NANOS_PER_SECOND; now += NANOS_PER_SECOND / 7000) {
      bucket.take(2000 * Share.TOKEN, now);
    }
    assertEquals(300 * Share.TOKEN, bucket.share(100 * NANOS_PER_SECOND).tokens());
  }

  /** Guards against tokens above the burst after a long pause. */
  @Test
  void tokensNeverExceedTheBurst() {
    LocalBucket bucket = bucket(LimitKind.BYTES, 500_000_000, 1 << 20, 0);
    assertEquals((1L << 20) * Share.TOKEN, bucket.share(Long.MAX_VALUE / 2).tokens());
  }

  /** Guards against a share that is removed without its tokens, which could then be used twice. */
  @Test
  void tokensMoveWithTheBurst() {
    LocalBucket bucket = bucket(LimitKind.REQUESTS, 10, 10, 8);
    Share removed = bucket.removeAbove(4 * Share.TOKEN, 4 * Share.TOKEN, 0);
    assertEquals(new Share(6 * Share.TOKEN, 6 * Share.TOKEN, 6 * Share.TOKEN), removed);
    assertEquals(2 * Share.TOKEN, bucket.share(0).tokens());
  }

  /** Guards against slots that are removed while a request uses them. */
  @Test
  void slotsInUseStay() {
    LocalBucket bucket = bucket(LimitKind.SLOTS, 0, 3, 3);
    assertTrue(bucket.take(Share.TOKEN, 0));
    assertTrue(bucket.take(Share.TOKEN, 0));
    assertEquals(Share.TOKEN, bucket.removeAbove(0, 0, 0).burst());
    bucket.putBack(Share.TOKEN);
    assertEquals(Share.TOKEN, bucket.removeAbove(0, 0, 0).burst());
  }

  /** Guards against a request admitted before a reset whose end frees a slot of the new share. */
  @Test
  void slotsTakenBeforeResetFreeNothing() {
    LocalBucket bucket = bucket(LimitKind.SLOTS, 0, 1, 1);
    assertTrue(bucket.take(Share.TOKEN, 0));
    bucket.reset(0);
    bucket.add(new Share(0, Share.TOKEN, Share.TOKEN), 0);
    assertTrue(bucket.take(Share.TOKEN, 0));
    bucket.putBack(Share.TOKEN);
    assertFalse(bucket.take(Share.TOKEN, 0));
    bucket.putBack(Share.TOKEN);
    assertTrue(bucket.take(Share.TOKEN, 0));
  }
}
