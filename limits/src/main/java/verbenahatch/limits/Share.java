package verbenahatch.limits;

import verbenahatch.peer.generated.ShareAmount;

/**
 * Holds a part of a limit.
 *
 * <p>Amounts are integers in millionths of a token, so that no transfer loses or gains anything by
 * rounding. A token is a request, a byte or a slot.
 *
 * @param rate millionths of a token per second, 0 for counts
 * @param burst the largest number of tokens that may gather, in millionths
 * @param tokens the tokens that may be used now, in millionths; at most {@code burst}
 */
public record Share(long rate, long burst, long tokens) {

  /** Millionths in one token. */
  public static final long TOKEN = 1_000_000;

  /** Holds nothing. */
  public static final Share NONE = new Share(0, 0, 0);

  /**
   * Adds another share.
   *
   * @param other the share to add
   * @return the sum
   */
  public Share plus(Share other) {
    return new Share(rate + other.rate, burst + other.burst, tokens + other.tokens);
  }

  /**
   * Tells whether the share is of no use.
   *
   * @return true if rate and burst are zero
   */
  public boolean isEmpty() {
    return rate == 0 && burst == 0;
  }

  ShareAmount toMessage() {
    return ShareAmount.newBuilder().setRate(rate).setBurst(burst).setTokens(tokens).build();
  }

  /** Reads a message; negative amounts and tokens above the burst are cut off. */
  static Share of(ShareAmount message) {
    long burst = Math.max(0, message.getBurst());
    long tokens = Math.min(burst, Math.max(0, message.getTokens()));
    return new Share(Math.max(0, message.getRate()), burst, tokens);
  }
}
