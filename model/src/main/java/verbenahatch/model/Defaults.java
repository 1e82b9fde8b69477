package verbenahatch.model;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Replaces values that are absent from a JSON text by empty ones, so that the checks can report
 * them instead of failing on null.
 */
final class Defaults {

  private Defaults() {}

  static String text(@Nullable String value) {
    return value == null ? "" : value;
  }

  static <T> List<T> list(@Nullable List<T> values) {
    return values == null ? List.of() : List.copyOf(values);
  }

  static <K, V> Map<K, V> map(@Nullable Map<K, V> values) {
    return values == null ? Map.of() : Map.copyOf(values);
  }
}
