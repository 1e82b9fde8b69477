package verbenahatch.limits;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Model check of concurrent bucket operations at a fixed time. */
public class LocalBucketConcurrencyTest {

  private final LocalBucket bucket = new LocalBucket(LimitKind.SLOTS, 0);

  /** Creates a bucket of two slots. */
  public LocalBucketConcurrencyTest() {
    bucket.add(new Share(0, 2 * Share.TOKEN, 2 * Share.TOKEN), 0);
  }

  /**
   * Takes a slot.
   *
   * @return true if a slot was available
   */
  @Operation
  public boolean take() {
    return bucket.take(Share.TOKEN, 0);
  }

  /** Returns a slot to the bucket. */
  @Operation
  public void putBack() {
    bucket.putBack(Share.TOKEN);
  }

  /** Adds a granted slot. */
  @Operation
  public void add() {
    bucket.add(new Share(0, Share.TOKEN, Share.TOKEN), 0);
  }

  /**
   * Removes all but one slot, as a return to the coordinator does.
   *
   * @return the removed slots, in millionths
   */
  @Operation
  public long giveBack() {
    return bucket.removeAbove(0, Share.TOKEN, 0).burst();
  }

  /** Guards against a token that two threads take, or that both a transfer and a request use. */
  @Test
  void isLinearizable() {
    new ModelCheckingOptions().iterations(15).invocationsPerIteration(500).check(getClass());
  }
}
