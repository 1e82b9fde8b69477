package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.StoreRevision;

/** Guards against evacuations, releases and host records that end because a backup lacks them. */
class RestoreHoldTest {

  private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(RestoreHold.HOLD_MILLIS);

  private final List<String> inForce = new ArrayList<>();
  private final RestoreHold<String> hold =
      new RestoreHold<>(
          (shown, held) -> !shown.startsWith("old"),
          entries -> inForce.add(0, new TreeSet<>(entries.values()).toString()));
  private long nowNanos = Long.MAX_VALUE - 5;

  /** Applies entries, "name" or "name=value", and removals, "-name". */
  private String apply(long era, boolean complete, String... entries) {
    Map<String, String> written = new HashMap<>();
    Set<String> gone = new TreeSet<>();
    for (String entry : entries) {
      if (entry.startsWith("-")) {
        gone.add(entry.substring(1));
      } else {
        String[] parts = entry.split("=", -1);
        written.put(parts[0], parts[parts.length - 1]);
      }
    }
    StoreRevision revision = new StoreRevision(era, 1);
    hold.apply(new Changes<>(written, gone, revision, revision), complete, nowNanos);
    return inForce.get(0);
  }

  @Test
  void withoutNewEraTheStoreDecides() {
    assertEquals("[a, b]", apply(0, true, "a", "b"));
    assertEquals("[b]", apply(0, false, "-a"));
    assertEquals("[c]", apply(0, true, "c"));
  }

  @Test
  void firstEraHoldsNothing() {
    assertEquals("[a]", apply(9, true, "a"));
    hold.expire(nowNanos + HOLD_NANOS);
    assertEquals(1, inForce.size());
  }

  @Test
  void missingEntryIsHeldForBoundedTime() {
    apply(1, true, "a", "b");
    assertEquals("[a, b, c]", apply(2, true, "b", "c"));
    assertEquals("[a, b]", apply(2, true, "b"));
    hold.expire(nowNanos + HOLD_NANOS - 1);
    assertEquals("[a, b]", inForce.get(0));
    hold.expire(nowNanos + HOLD_NANOS);
    assertEquals("[b]", inForce.get(0));
  }

  @Test
  void entryShownAgainEndsAtItsRemoval() {
    apply(1, true, "a", "b");
    apply(2, true);
    assertEquals("[a, b]", apply(2, false, "a"));
    assertEquals("[b]", apply(2, false, "-a"));
    assertEquals("[]", apply(2, false, "-b"));
  }

  @Test
  void secondRestoreStartsTheHoldAgain() {
    apply(1, true, "a");
    apply(2, true);
    nowNanos += HOLD_NANOS - 1;
    assertEquals("[a]", apply(3, true));
    hold.expire(nowNanos + 1);
    assertEquals("[a]", inForce.get(0));
    hold.drop("a");
    assertEquals("[]", inForce.get(0));
  }

  /** Removing an order that the backup held must not end the newer one that is in force. */
  @Test
  void olderEntryOfBackupReplacesNothing() {
    apply(1, true, "s=new");
    assertEquals("[new]", apply(2, true, "s=old"));
    assertEquals("[new]", apply(2, false, "-s"));
    assertEquals("[newer]", apply(2, false, "s=newer"));
  }
}
