package verbenahatch.routing;

import java.util.concurrent.atomic.AtomicInteger;
import verbenahatch.model.EnvironmentDocument.Target;

/** Counts the requests that this host runs at one target. Thread-safe and free of locks. */
public final class TargetLoad {

  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Target target;

  /**
   * Creates a count of zero.
   *
   * @param target the target
   */
  public TargetLoad(Target target) {
    this.target = target;
  }

  /**
   * Returns the target.
   *
   * @return the target of the newest document
   */
  public Target target() {
    return target;
  }

  /**
   * Replaces the description and keeps the count.
   *
   * @param newer the same target in a newer document
   */
  public void update(Target newer) {
    target = newer;
  }

  /**
   * Returns how many requests this host runs there.
   *
   * @return the number, never negative
   */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Returns the use of the slots by this host.
   *
   * @return requests in flight over slots
   */
  public double use() {
    return inFlight.get() / (double) Math.max(1, target.slots());
  }

  /**
   * Takes a place for one request.
   *
   * @param limit the largest number of requests in flight
   * @return false if the limit is reached
   */
  public boolean tryAcquire(int limit) {
    while (true) {
      int current = inFlight.get();
      if (current >= limit) {
        return false;
      }
      if (inFlight.compareAndSet(current, current + 1)) {
        return true;
      }
    }
  }

  /** Returns a place taken with {@link #tryAcquire(int)}. */
  public void release() {
    inFlight.decrementAndGet();
  }
}
