package verbenahatch.standins.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Records what a target ran and saw. Thread-safe. */
public final class RunLog {

  /** Older entries are dropped, so that a long run fits into a small heap. */
  private static final int MAX_ENTRIES = 200_000;

  private static final int MAX_HEADS = 2_000;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Deque<Head> heads = new ArrayDeque<>();
  private long sequence;
  private final LongAdder arrivedFull = new LongAdder();
  private final LongAdder arrivedDraining = new LongAdder();
  private final LongAdder shed = new LongAdder();
  private final LongAdder cancelled = new LongAdder();
  private final LongAdder connections = new LongAdder();

  /**
   * Describes a request that a target began to run.
   *
   * @param sequence the position in the log, from 1
   * @param submission the submission id, empty if there was none
   * @param workspace the workspace, empty if there was none
   * @param method the HTTP method
   * @param path the path with its query
   * @param wallMillis the time, in milliseconds since 1970
   */
  public record Entry(
      long sequence,
      String submission,
      String workspace,
      String method,
      String path,
      long wallMillis) {}

  /**
   * Holds what a target saw of one message.
   *
   * @param path the path with its query
   * @param fields header fields, and trailer fields with the prefix {@code trailer:}
   */
  public record Head(String path, List<String> fields) {}

  /**
   * Counts events since the start.
   *
   * @param ran requests that began to run
   * @param arrivedFull requests that came while every slot was taken
   * @param arrivedDraining requests that came while the target drained
   * @param shed requests refused without running
   * @param cancelled requests whose connection ended while they ran
   * @param connections connections accepted
   */
  public record Counts(
      long ran,
      long arrivedFull,
      long arrivedDraining,
      long shed,
      long cancelled,
      long connections) {}

  synchronized void ran(
      String submission, String workspace, String method, String path, long wallMillis) {
    sequence++;
    entries.addLast(new Entry(sequence, submission, workspace, method, path, wallMillis));
    if (entries.size() > MAX_ENTRIES) {
      entries.removeFirst();
    }
  }

  synchronized void saw(Head head) {
    heads.addLast(head);
    if (heads.size() > MAX_HEADS) {
      heads.removeFirst();
    }
  }

  void countArrivedFull() {
    arrivedFull.increment();
  }

  void countArrivedDraining() {
    arrivedDraining.increment();
  }

  void countShed() {
    shed.increment();
  }

  void countCancelled() {
    cancelled.increment();
  }

  void countConnection() {
    connections.increment();
  }

  /**
   * Returns the entries after a position.
   *
   * @param after the position, 0 for all
   * @return the entries in order
   */
  public synchronized List<Entry> entries(long after) {
    List<Entry> found = new ArrayList<>();
    for (Entry entry : entries) {
      if (entry.sequence() > after) {
        found.add(entry);
      }
    }
    return found;
  }

  /**
   * Returns the newest message heads.
   *
   * @return the heads in order
   */
  public synchronized List<Head> heads() {
    return new ArrayList<>(heads);
  }

  /**
   * Returns the counts.
   *
   * @return the counts since the start
   */
  public synchronized Counts counts() {
    return new Counts(
        sequence,
        arrivedFull.sum(),
        arrivedDraining.sum(),
        shed.sum(),
        cancelled.sum(),
        connections.sum());
  }

  /**
   * Counts how often each submission ran.
   *
   * @return runs by submission id
   */
  public synchronized Map<String, Integer> runs() {
    Map<String, Integer> runs = new java.util.TreeMap<>();
    for (Entry entry : entries) {
      if (!entry.submission().isEmpty()) {
        runs.merge(entry.submission(), 1, Integer::sum);
      }
    }
    return runs;
  }
}
