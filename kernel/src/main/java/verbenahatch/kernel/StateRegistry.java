package verbenahatch.kernel;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/**
 * Gathers the views that make up the dump of a process's state.
 *
 * <p>Thread-safe. A view must return data that {@link Json} can write and must not contain keys.
 */
public final class StateRegistry {

  private final Map<String, Supplier<?>> views = new ConcurrentSkipListMap<>();

  /**
   * Adds a view; a second view of the same name replaces the first.
   *
   * @param name the name in the dump, not null
   * @param view computes the view at each dump, not null
   */
  public void register(String name, Supplier<?> view) {
    views.put(name, view);
  }

  /**
   * Computes every view.
   *
   * <p>A view that throws appears with the text of its exception, so that one fault does not hide
   * the rest of the dump.
   *
   * @return views by name, in order of name
   */
  public Map<String, Object> dump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    views.forEach((name, view) -> dump.put(name, compute(view)));
    return dump;
  }

  private static Object compute(Supplier<?> view) {
    try {
      return view.get();
    } catch (RuntimeException e) {
      return "view failed: " + e;
    }
  }
}
