package verbenahatch.steering.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import verbenahatch.steering.model.EraObserver;

/** Guards against restores that are missed, or noticed without one. */
class StoreErasTest {

  private final List<String> restores = new ArrayList<>();
  private final StoreEras eras =
      new StoreEras((era, previous) -> restores.add(previous + "-" + era));

  @Test
  void storeWithoutErasStaysInEraZero() {
    assertEquals(0, eras.observe(EraObserver.UNKNOWN_ERA));
    assertEquals(0, eras.current());
    assertEquals(0, eras.seen());
  }

  @Test
  void firstEraIsNoRestoreAndLaterOnesAre() {
    assertEquals(7, eras.observe(7));
    assertEquals(7, eras.observe(7));
    assertEquals(List.of(), restores);
    assertEquals(9, eras.observe(9));
    assertEquals(List.of("7-9"), restores);
    assertEquals(2, eras.seen());
  }

  /** Responses from before a restore arrive late, and others state no era. */
  @Test
  void knownEraNeverDecreases() {
    eras.observe(7);
    eras.observe(8);
    assertEquals(7, eras.observe(7));
    assertEquals(8, eras.observe(EraObserver.UNKNOWN_ERA));
    assertEquals(8, eras.current());
    assertEquals(List.of("7-8"), restores);
  }
}
