package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicatedObjectsTest {

  private final List<Integer> events = new ArrayList<>();
  private final ReplicatedObjects objects =
      new ReplicatedObjects(
          (code, args) -> events.add(code.number()), Map.of("drains/fleet", v -> {}));

  private boolean offer(String name, String json) {
    return objects.offer(name, json.getBytes(StandardCharsets.UTF_8), "test");
  }

  /** Guards against a value of an older or equal generation that replaces the one in force. */
  @Test
  void onlyHigherGenerationIsAdopted() {
    assertTrue(offer("drains/fleet", "{\"generation\":5}"));
    assertFalse(offer("drains/fleet", "{\"generation\":5}"));
    assertEquals(List.of(FleetEvent.OBJECT_ADOPTED.number()), events);
    assertFalse(offer("drains/fleet", "{\"generation\":4}"));
    assertFalse(offer("drains/fleet", "{\"generation\":4}"));
    assertEquals(5, objects.generation("drains/fleet"));
    long reports = events.stream().filter(n -> n == FleetEvent.OLDER_VALUE.number()).count();
    assertEquals(1, reports, "one report per older generation");
  }

  /** Guards against values that are adopted although they cannot be parsed. */
  @ParameterizedTest
  @ValueSource(strings = {"", "{", "{}", "{\"generation\":0}", "{\"generation\":\"7\"}"})
  void unreadableValueIsRefused(String json) {
    assertFalse(offer("release/desk", json));
    assertEquals(List.of(FleetEvent.OBJECT_INVALID.number()), events);
  }

  /** Guards against digests that collide, so that two hosts never compare their generations. */
  @Test
  void digestDiffersBetweenGenerations() {
    offer("release/a", "{\"generation\":1}");
    offer("release/b", "{\"generation\":2}");
    long digest = objects.digest();
    offer("release/a", "{\"generation\":2}");
    assertFalse(digest == objects.digest());
    assertFalse(offer("claim/x", "{\"generation\":1}"), "not a replicated object");
  }
}
