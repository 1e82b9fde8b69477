package verbenahatch.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;

/** Assigns a target's slots to tasks in order of arrival. Thread-safe. */
final class Slots {

  private final int slots;
  private final Deque<Runnable> queued = new ArrayDeque<>();
  private int running;

  Slots(int slots) {
    this.slots = slots;
  }

  /** The result of submitting a task. */
  enum Admission {
    /** The task was run immediately. */
    STARTED,
    /** The task waits for a slot. */
    QUEUED,
    /** The queue is full; the task will not run. */
    REJECTED
  }

  /**
   * Runs a task as soon as a slot is free.
   *
   * @param task the task; it must call {@link #release()} exactly once
   * @param maxQueued the largest number of waiting tasks
   */
  Admission submit(Runnable task, int maxQueued) {
    synchronized (this) {
      if (running >= slots) {
        if (queued.size() >= maxQueued) {
          return Admission.REJECTED;
        }
        queued.addLast(task);
        return Admission.QUEUED;
      }
      running++;
    }
    task.run();
    return Admission.STARTED;
  }

  void release() {
    Runnable next;
    synchronized (this) {
      next = queued.pollFirst();
      if (next == null) {
        running--;
      }
    }
    if (next != null) {
      next.run();
    }
  }

  synchronized int inFlight() {
    return running + queued.size();
  }

  synchronized boolean isFull() {
    return running >= slots;
  }

  int slots() {
    return slots;
  }
}
