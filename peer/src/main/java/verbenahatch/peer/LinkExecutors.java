package verbenahatch.peer;

import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs request handlers and completions on threads other than the event loops.
 *
 * <p>Heartbeat polls ({@link MessageKind#PULSE}) have a thread of their own, because freshness must
 * not wait behind handlers of other kinds.
 */
final class LinkExecutors implements AutoCloseable {

  private static final int WORKER_THREADS = 4;
  private static final int MAX_QUEUED_TASKS = 4096;
  private static final int CLOSE_TIMEOUT_SECONDS = 1;

  private final ThreadPoolExecutor heartbeats = newExecutor("verbenahatch-pulse", 1);
  private final ThreadPoolExecutor workers = newExecutor("verbenahatch-peer", WORKER_THREADS);

  private static ThreadPoolExecutor newExecutor(String name, int threads) {
    ThreadPoolExecutor executor =
        new ThreadPoolExecutor(
            threads,
            threads,
            1,
            TimeUnit.MINUTES,
            new LinkedBlockingQueue<>(MAX_QUEUED_TASKS),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.allowCoreThreadTimeOut(true);
    return executor;
  }

  /**
   * Runs a task on the threads for a kind of message.
   *
   * @return false if the queue is full or the executors are closed; the task then does not run
   */
  boolean execute(MessageKind kind, Runnable task) {
    Executor executor = kind == MessageKind.PULSE ? heartbeats : workers;
    try {
      executor.execute(task);
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /**
   * Waits up to 1 s per executor for queued tasks, because each of them completes a request, and
   * then stops the threads.
   */
  @Override
  public void close() {
    heartbeats.shutdown();
    workers.shutdown();
    try {
      if (!heartbeats.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          || !workers.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        heartbeats.shutdownNow();
        workers.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
