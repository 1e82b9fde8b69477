package verbenahatch.standins.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Records the requests that a target ran and the message heads it received. Thread-safe. */
public final class RunLog {

  /** Older entries are removed, so that a long run fits into a small heap. */
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
   * @param submission the submission id, empty if the request had none
   * @param workspace the workspace, empty if the request had none
   * @param method the HTTP method
   * @param path the path with its query
   * @param wallMillis the time at which the request began to run, in milliseconds since 1970 UTC
   */
  public record Entry(
      long sequence,
      String submission,
      String workspace,
      String method,
      String path,
      long wallMillis) {}

  /**
   * Holds the head of one request that a target received completely.
   *
   * @param path the path with its query
   * @param fields the header fields, and the trailer fields with the prefix {@code trailer:}
   */
  public record Head(String path, List<String> fields) {}

  /**
   * Holds the numbers of events since the start of the target.
   *
   * @param ran requests that began to run
   * @param arrivedFull requests that arrived while every slot was in use
   * @param arrivedDraining requests that arrived while the target was draining
   * @param shed requests refused without running
   * @param cancelled requests whose connection closed while they ran
   * @param connections connections accepted
   */
  public record Counts(
      long ran,
      long arrivedFull,
      long arrivedDraining,
      long shed,
      long cancelled,
      long connections) {}

  synchronized void recordRun(
      String submission, String workspace, String method, String path, long wallMillis) {
    sequence++;
    entries.addLast(new Entry(sequence, submission, workspace, method, path, wallMillis));
    if (entries.size() > MAX_ENTRIES) {
      entries.removeFirst();
    }
  }

  synchronized void recordHead(Head head) {
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
   * Returns the entries after a position in the log.
   *
   * @param after the position, 0 for all entries
   * @return the entries in the order in which the requests began to run, at most the newest 200,000
   */
  public synchronized List<Entry> entries(long after) {
    List<Entry> matches = new ArrayList<>();
    for (Entry entry : entries) {
      if (entry.sequence() > after) {
        matches.add(entry);
      }
    }
    return matches;
  }

  /**
   * Returns the most recent request heads.
   *
   * @return the heads in the order in which the requests were received completely, at most 2,000
   */
  public synchronized List<Head> heads() {
    return new ArrayList<>(heads);
  }

  /**
   * Returns the numbers of events.
   *
   * @return the numbers since the start of the target
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
   * Returns how often each submission ran, as far as its entries are still in the log.
   *
   * @return the number of runs by submission id
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
