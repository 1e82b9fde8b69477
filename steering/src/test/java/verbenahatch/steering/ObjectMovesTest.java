package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import verbenahatch.steering.ObjectMoves.Move;

/** Guards against wrong counts of the objects that change their target. */
class ObjectMovesTest {

  private final ObjectMoves moves = new ObjectMoves();

  @Test
  void tellsMovesFromFirstAndRepeatedRequests() {
    assertEquals(Move.FIRST, moves.record(1, 10));
    assertEquals(Move.FIRST, moves.record(2, 10));
    assertEquals(Move.STAYED, moves.record(1, 10));
    assertEquals(Move.MOVED, moves.record(1, 11));
    assertEquals(Move.STAYED, moves.record(1, 11));
  }

  /** Requests for ever new objects must not use memory without bound. */
  @Test
  void forgetsObjectsUsedLongestAgo() {
    for (int object = 0; object < 100_000; object++) {
      moves.record(object, 10);
    }
    assertEquals(Move.FIRST, moves.record(0, 10));
    assertEquals(Move.STAYED, moves.record(99_999, 10));
  }
}
