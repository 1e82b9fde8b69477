package verbenahatch.peer;

import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs handlers and completions off the event loops.
 *
 * <p>Pulses have a thread of their own: freshness must not wait behind handlers of other kinds.
 */
final class Lanes implements AutoCloseable {

  private static final int WORKERS = 4;
  private static final int MAX_QUEUED = 4096;
  private static final int CLOSE_SECONDS = 1;

  private final ThreadPoolExecutor pulses = pool("verbenahatch-pulse", 1);
  private final ThreadPoolExecutor workers = pool("verbenahatch-peer", WORKERS);

  private static ThreadPoolExecutor pool(String name, int threads) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            1,
            TimeUnit.MINUTES,
            new LinkedBlockingQueue<>(MAX_QUEUED),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    pool.allowCoreThreadTimeOut(true);
    return pool;
  }

  /**
   * Runs a task on the threads of a kind.
   *
   * @return false if the queue is full or the lanes are closed; the task does not run
   */
  boolean run(MessageKind kind, Runnable task) {
    Executor lane = kind == MessageKind.PULSE ? pulses : workers;
    try {
      lane.execute(task);
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /** Lets queued tasks end, because each of them completes a call, and then stops the threads. */
  @Override
  public void close() {
    pulses.shutdown();
    workers.shutdown();
    try {
      if (!pulses.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)
          || !workers.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)) {
        pulses.shutdownNow();
        workers.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
