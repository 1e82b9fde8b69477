package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.steering.HostRegistration.Action;
import verbenahatch.steering.HostRegistration.View;
import verbenahatch.steering.model.HostRecord;

/** Guards against a record that a restore of the store takes away, or brings back. */
class HostRegistrationTest {

  private final HostRecord self = Samples.host("h1", "a");
  private final HostRegistration registration = new HostRegistration(self, 0);
  private long nowNanos;

  private Action next(boolean leaving, long era, boolean shown) {
    return registration.next(leaving, new View(era, true, era, shown ? self : null), nowNanos);
  }

  private void perform(Action expected, boolean leaving, long era, boolean shown) {
    Action action = next(leaving, era, shown);
    assertEquals(expected, action);
    registration.confirm(action);
  }

  @Test
  void writesOnceAndAgainIfTheRecordIsMissingAfterThePause() {
    perform(Action.WRITE, false, 0, false);
    assertEquals(Action.NONE, next(false, 0, false));
    nowNanos += TimeUnit.SECONDS.toNanos(2);
    assertEquals(Action.NONE, next(false, 0, true));
    assertEquals(Action.WRITE, next(false, 0, false));
  }

  @Test
  void unreachableStoreIsNotWritten() {
    assertEquals(Action.NONE, registration.next(false, new View(0, false, 0, null), nowNanos));
  }

  /** The feed may still show the record of the earlier era, or it may only be held. */
  @ParameterizedTest
  @ValueSource(longs = {7, 8})
  void writesAgainInNewEraWhateverTheFeedShows(long feedEra) {
    perform(Action.WRITE, false, 7, false);
    View view = new View(8, true, feedEra, self);
    assertEquals(Action.WRITE, registration.next(false, view, nowNanos));
    registration.confirm(Action.WRITE);
    nowNanos += TimeUnit.SECONDS.toNanos(2);
    assertEquals(Action.NONE, next(false, 8, true));
  }

  /** The write belongs to the era before it if the store was restored before its response. */
  @Test
  void writeConfirmedDuringRestoreIsRepeated() {
    assertEquals(Action.WRITE, next(false, 7, false));
    registration.confirm(Action.WRITE);
    assertEquals(Action.WRITE, next(false, 8, false));
  }

  @Test
  void removesAgainInNewEra() {
    perform(Action.WRITE, false, 7, false);
    nowNanos += TimeUnit.SECONDS.toNanos(2);
    perform(Action.REMOVE, true, 7, true);
    assertEquals(Action.NONE, next(true, 7, false));
    perform(Action.REMOVE, true, 8, false);
  }

  @Test
  void hostThatNeverRegisteredRemovesNothing() {
    assertEquals(Action.NONE, next(true, 7, false));
    assertEquals(Action.NONE, next(true, 8, false));
  }
}
