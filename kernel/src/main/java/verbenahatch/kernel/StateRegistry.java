package verbenahatch.kernel;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/**
 * Holds the named views that make up the state dump of a process.
 *
 * <p>Thread-safe. A view must return data that {@link Json} can write and must not contain callers'
 * keys.
 */
public final class StateRegistry {

  private final Map<String, Supplier<?>> views = new ConcurrentSkipListMap<>();

  /**
   * Registers a view; a later view of the same name replaces it.
   *
   * @param name the name of the view in the dump, not null
   * @param view computes the view at each dump, not null
   */
  public void register(String name, Supplier<?> view) {
    views.put(name, view);
  }

  /**
   * Computes every view.
   *
   * <p>For a view that throws, the dump contains the text of the exception, so that one fault does
   * not hide the rest of the dump.
   *
   * @return the data of the views by name, in order of name
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
