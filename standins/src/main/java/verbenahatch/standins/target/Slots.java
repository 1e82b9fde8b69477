package verbenahatch.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;

/** Hands out a target's slots in order of arrival. Thread-safe. */
final class Slots {

  private final int slots;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int running;

  Slots(int slots) {
    this.slots = slots;
  }

  /** Tells what became of a request for a slot. */
  enum Taken {
    /** The task runs at once. */
    NOW,
    /** The task waits. */
    LATER,
    /** The queue is full. */
    NO
  }

  /**
   * Runs a task as soon as a slot is free.
   *
   * @param task the task; it must call {@link #release()} once
   * @param queue the largest number of waiting tasks
   */
  Taken take(Runnable task, int queue) {
    synchronized (this) {
      if (running >= slots) {
        if (waiting.size() >= queue) {
          return Taken.NO;
        }
        waiting.addLast(task);
        return Taken.LATER;
      }
      running++;
    }
    task.run();
    return Taken.NOW;
  }

  void release() {
    Runnable next;
    synchronized (this) {
      next = waiting.pollFirst();
      if (next == null) {
        running--;
      }
    }
    if (next != null) {
      next.run();
    }
  }

  synchronized int inFlight() {
    return running + waiting.size();
  }

  synchronized boolean isFull() {
    return running >= slots;
  }

  int slots() {
    return slots;
  }
}
