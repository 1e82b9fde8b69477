package verbenahatch.limits;

import verbenahatch.peer.generated.ShareAmount;

/**
 * An amount of a limit, as one host holds it or a message transfers it.
 *
 * <p>Amounts are integers in millionths of a token, so that rounding changes no amount in a
 * transfer. A token is a request, a byte or a slot.
 *
 * @param rate the refill rate in millionths of a token per second, 0 for slots
 * @param burst the largest number of tokens that may accumulate, in millionths
 * @param tokens the tokens available now, in millionths; at most {@code burst}
 */
public record Share(long rate, long burst, long tokens) {

  /** Number of millionths in one token. */
  public static final long TOKEN = 1_000_000;

  /** The empty share. */
  public static final Share NONE = new Share(0, 0, 0);

  /**
   * Returns the sum of this share and another.
   *
   * @param other the share to add
   * @return the sum of rates, bursts and tokens
   */
  public Share plus(Share other) {
    return new Share(rate + other.rate, burst + other.burst, tokens + other.tokens);
  }

  /**
   * Returns whether the share can never admit anything.
   *
   * @return true if rate and burst are zero
   */
  public boolean isEmpty() {
    return rate == 0 && burst == 0;
  }

  ShareAmount toMessage() {
    return ShareAmount.newBuilder().setRate(rate).setBurst(burst).setTokens(tokens).build();
  }

  /** Converts a message; negative amounts become 0 and tokens are capped at the burst. */
  static Share of(ShareAmount message) {
    long burst = Math.max(0, message.getBurst());
    long tokens = Math.min(burst, Math.max(0, message.getTokens()));
    return new Share(Math.max(0, message.getRate()), burst, tokens);
  }
}
