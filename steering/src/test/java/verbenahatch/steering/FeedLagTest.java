package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.StoreRevision;

/** Guards against a host that stays behind the others after its watch or its relay was lost. */
class FeedLagTest {

  private static final long TOLERANCE_MILLIS = 600;

  private final AtomicInteger refreshes = new AtomicInteger();
  private StoreRevision own = new StoreRevision(0, 10);
  private final FeedLag lag =
      new FeedLag(
          beat -> new StoreRevision(beat.getStoreEra(), beat.getEvacuationsRevision()),
          () -> own,
          refreshes::incrementAndGet);

  private void check(long atMillis, long... revisions) {
    List<HostBeat> heartbeats =
        java.util.Arrays.stream(revisions)
            .mapToObj(r -> HostBeat.newBuilder().setEvacuationsRevision(r).build())
            .toList();
    lag.check(heartbeats, TOLERANCE_MILLIS, TimeUnit.MILLISECONDS.toNanos(atMillis - 5_000));
  }

  @ParameterizedTest
  @CsvSource({"9, 10, 0", "10, 10, 0", "10, 11, 1", "12, 3, 1"})
  void refreshesOnlyBehindAnotherHost(long first, long second, int expected) {
    check(0, first, second);
    check(500, first, second);
    assertEquals(0, refreshes.get());
    check(700, first, second);
    assertEquals(expected, refreshes.get());
  }

  /** A reissued revision that is lower than the own one looked old. */
  @ParameterizedTest
  @CsvSource({"1, 3, 1", "0, 3, 0"})
  void laterEraIsNewerWhateverItsRevision(long era, long revision, int expected) {
    HostBeat beat = HostBeat.newBuilder().setStoreEra(era).setEvacuationsRevision(revision).build();
    lag.check(List.of(beat), TOLERANCE_MILLIS, 0);
    lag.check(List.of(beat), TOLERANCE_MILLIS, TimeUnit.MILLISECONDS.toNanos(700));
    assertEquals(expected, refreshes.get());
  }

  /** A change that arrives within the usual time needs no call to the store. */
  @Test
  void catchingUpInTimeEndsTheLag() {
    check(0, 11);
    own = new StoreRevision(0, 11);
    check(500, 11);
    check(600, 12);
    check(1_150, 12);
    assertEquals(0, refreshes.get());
    check(1_250, 12);
    assertEquals(1, refreshes.get());
  }

  /** A refresh that brings nothing new is repeated at the same pace, not at each check. */
  @Test
  void repeatsAtThePaceOfTheTolerance() {
    for (int millis = 0; millis <= 3_000; millis += 250) {
      check(millis, 11);
    }
    assertEquals(4, refreshes.get());
  }
}
