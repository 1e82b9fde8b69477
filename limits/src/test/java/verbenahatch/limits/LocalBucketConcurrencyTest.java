package verbenahatch.limits;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Operations of a bucket that threads run against each other; time stands still. */
public class LocalBucketConcurrencyTest {

  private final LocalBucket bucket = new LocalBucket(LimitKind.SLOTS, 0);

  /** Creates a bucket of two slots. */
  public LocalBucketConcurrencyTest() {
    bucket.add(new Share(0, 2 * Share.TOKEN, 2 * Share.TOKEN), 0);
  }

  /**
   * Takes a slot.
   *
   * @return true if there was one
   */
  @Operation
  public boolean take() {
    return bucket.take(Share.TOKEN, 0);
  }

  /** Frees a slot. */
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
   * Returns all but one slot to the home.
   *
   * @return the slots returned, in millionths
   */
  @Operation
  public long giveBack() {
    return bucket.removeAbove(0, Share.TOKEN, 0).burst();
  }

  /** Guards against a token that two threads take, or that a transfer and a request both use. */
  @Test
  void isLinearizable() {
    new ModelCheckingOptions().iterations(15).invocationsPerIteration(500).check(getClass());
  }
}
