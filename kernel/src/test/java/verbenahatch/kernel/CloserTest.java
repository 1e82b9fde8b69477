package verbenahatch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CloserTest {

  /** Guards against resources that stay open because closing an earlier one failed. */
  @Test
  void closesAllInReverseOrder() {
    List<String> closed = new ArrayList<>();
    Closer closer = new Closer();
    closer.register(() -> closed.add("first"));
    closer.register(
        () -> {
          throw new IllegalStateException("broken");
        });
    closer.register(() -> closed.add("last"));
    assertThrows(IllegalStateException.class, closer::close);
    assertEquals(List.of("last", "first"), closed);
  }
}
