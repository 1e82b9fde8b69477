package verbenahatch.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Holds resources and closes them in reverse order of registration.
 *
 * <p>Every resource is closed even if closing an earlier one throws; later exceptions are added to
 * the first as suppressed. Thread-safe. Closing again has no effect.
 */
public final class Closer implements AutoCloseable {

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private boolean closed;

  /**
   * Registers a resource.
   *
   * <p>A resource registered after {@link #close()} is closed immediately.
   *
   * @param <T> the type of the resource
   * @param resource the resource, not null
   * @return {@code resource}
   * @throws IllegalStateException if this closer is closed and the resource fails to close
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
      throw new IllegalStateException("resource registered after close failed to close", e);
    }
    return resource;
  }

  @Override
  public void close() throws Exception {
    Exception firstFailure = null;
    for (AutoCloseable next = poll(); next != null; next = poll()) {
      try {
        next.close();
      } catch (Exception e) {
        if (firstFailure == null) {
          firstFailure = e;
        } else {
          firstFailure.addSuppressed(e);
        }
      }
    }
    if (firstFailure != null) {
      throw firstFailure;
    }
  }

  private synchronized @Nullable AutoCloseable poll() {
    closed = true;
    return resources.poll();
  }
}
