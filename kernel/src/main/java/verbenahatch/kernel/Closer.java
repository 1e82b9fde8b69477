package verbenahatch.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Gathers resources and closes them in reverse order of registration.
 *
 * <p>Every resource is closed even when an earlier one throws; later exceptions are added to the
 * first as suppressed. Thread-safe. Closing twice has no effect.
 */
public final class Closer implements AutoCloseable {

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private boolean closed;

  /**
   * Adds a resource.
   *
   * <p>A resource that arrives after {@link #close()} is closed at once.
   *
   * @param <T> the type of the resource
   * @param resource the resource, not null
   * @return the same resource
   */
  public <T extends AutoCloseable> T register(T resource) {
    synchronized (this) {
      if (!closed) {
        resources.push(resource);
        return resource;
      }
    }
    try {
      resource.close();
    } catch (Exception e) {
      throw new IllegalStateException("closer is closed and the late resource failed to close", e);
    }
    return resource;
  }

  @Override
  public void close() throws Exception {
    Exception first = null;
    for (AutoCloseable next = poll(); next != null; next = poll()) {
      try {
        next.close();
      } catch (Exception e) {
        if (first == null) {
          first = e;
        } else {
          first.addSuppressed(e);
        }
      }
    }
    if (first != null) {
      throw first;
    }
  }

  private synchronized @Nullable AutoCloseable poll() {
    closed = true;
    return resources.poll();
  }
}
