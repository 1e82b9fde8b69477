package verbenahatch.kernel;

/** Hashes names identically on every host. Not for secrets, because the hash can be inverted. */
public final class Hashing {

  private static final long SEED = 0x9E3779B97F4A7C15L;

  private Hashing() {}

  /**
   * Hashes all characters of a text.
   *
   * @param text the text, possibly empty
   * @return the hash
   */
  public static long of(String text) {
    long hash = SEED;
    for (int i = 0; i < text.length(); i++) {
      hash = mix(hash ^ text.charAt(i));
    }
    return hash;
  }

  /**
   * Mixes every input bit into the result, with the constants of SplitMix64.
   *
   * @param value any value
   * @return the mixed value
   */
  public static long mix(long value) {
    long mixed = value + SEED;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  /**
   * Maps a value to a fraction from 0 to 1; different values are uniformly distributed.
   *
   * @param value any value
   * @return a number of at least 0 and less than 1, equal for equal values
   */
  public static double toFraction(long value) {
    return (mix(value) >>> 11) * 0x1.0p-53;
  }
}
