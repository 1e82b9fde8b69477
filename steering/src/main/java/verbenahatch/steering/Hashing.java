package verbenahatch.steering;

/** Hashes names equally on every host. */
final class Hashing {

  private Hashing() {}

  /** Hashes a text over all of its characters. */
  static long of(String text) {
    long hash = 0x9E3779B97F4A7C15L;
    for (int i = 0; i < text.length(); i++) {
      hash = mix(hash ^ text.charAt(i));
    }
    return hash;
  }

  /** Spreads every input bit over the result, with the constants of SplitMix64. */
  static long mix(long value) {
    long mixed = value + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
