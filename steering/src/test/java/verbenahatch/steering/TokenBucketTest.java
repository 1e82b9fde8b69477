package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a bucket that admits more than its rate and burst. */
class TokenBucketTest {

  private static final long SECOND = 1_000_000_000L;

  @ParameterizedTest
  @CsvSource({"10, 5, 1", "2, 1, 3", "0.5, 4, 10"})
  void admitsRateTimesTimePlusBurst(double rate, double burst, int seconds) {
    TokenBucket bucket = new TokenBucket(rate, burst, burst, 0);
    int admitted = 0;
    for (long now = 0; now <= seconds * SECOND; now += SECOND / 200) {
      if (bucket.tryTake(now)) {
        admitted++;
      }
    }
    assertTrue(admitted <= rate * seconds + burst);
    assertTrue(admitted >= Math.floor(rate * seconds + burst) - 1);
  }

  /** A larger share of a burst must not add tokens that another host may have spent already. */
  @Test
  void raisingTheBurstIssuesNoTokens() {
    TokenBucket bucket = new TokenBucket(1, 1, 0, 0);
    bucket.set(1, 100, 0);
    assertEquals(false, bucket.hasToken(0));
  }

  /** A smaller share must take effect immediately. */
  @Test
  void loweringTheBurstDropsTokens() {
    TokenBucket bucket = new TokenBucket(0, 50, 50, 0);
    bucket.set(0, 2, 0);
    int admitted = 0;
    while (bucket.tryTake(0)) {
      admitted++;
    }
    assertEquals(2, admitted);
  }
}
