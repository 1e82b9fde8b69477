package verbenahatch.peer.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.ManualClock;
import verbenahatch.peer.PeerAddress;

/**
 * Connects in-memory peer links under a manually advanced clock.
 *
 * <p>Nothing happens until {@link #advance(Duration)} moves the clock; due events then run on the
 * calling thread in order of time. The same seed and the same calls give the same run. Requests and
 * responses are delayed, lost and duplicated independently. A request to an address without a link
 * fails as not sent; a request that is lost, also in a partition, times out.
 */
public final class FakePeerNetwork {

  /** Rule for the delays of messages. */
  @FunctionalInterface
  public interface Latency {

    /**
     * Computes the delay of one message.
     *
     * @param from the sender
     * @param to the receiver
     * @param random the random source of the network
     * @return the delay in nanoseconds, zero or positive
     */
    long nanos(PeerAddress from, PeerAddress to, Random random);
  }

  private record Event(long atNanos, long sequence, Runnable action) {}

  private record Partition(Set<PeerAddress> from, Set<PeerAddress> to) {}

  private final ManualClock clock;
  private final Random random;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atNanos != b.atNanos
                  ? Long.compare(a.atNanos, b.atNanos)
                  : Long.compare(a.sequence, b.sequence));
  private final Map<PeerAddress, FakePeerLink> links = new HashMap<>();
  private final Map<PeerAddress, List<Runnable>> paused = new HashMap<>();
  private final List<Partition> partitions = new ArrayList<>();
  private Latency latency = (from, to, source) -> 1_000_000L;
  private double loss;
  private double duplication;
  private long nextSequence;

  /**
   * Creates a network with a delay of 1 ms, without loss or duplication.
   *
   * @param clock the clock that {@link #advance(Duration)} moves
   * @param seed the seed of the random source
   */
  public FakePeerNetwork(ManualClock clock, long seed) {
    this.clock = clock;
    this.random = new Random(seed);
  }

  /**
   * Opens a link; a link already open at the address is closed, as when a process restarts.
   *
   * @param address the address of the new link
   * @param incarnation the incarnation id of the process
   * @return the link
   */
  public FakePeerLink open(PeerAddress address, String incarnation) {
    FakePeerLink link = new FakePeerLink(this, address, incarnation);
    FakePeerLink previous;
    synchronized (this) {
      previous = links.put(address, link);
      paused.remove(address);
    }
    if (previous != null) {
      previous.close();
    }
    return link;
  }

  /**
   * Sets the delay of every later message.
   *
   * @param latency the rule, applied once per delivery, so twice to a duplicated message
   */
  public synchronized void setLatency(Latency latency) {
    this.latency = latency;
  }

  /**
   * Sets a uniformly distributed delay of every later message.
   *
   * @param minimum the minimum delay, zero or positive
   * @param maximum the maximum delay, not below the minimum
   */
  public void setDelay(Duration minimum, Duration maximum) {
    long width = maximum.toNanos() - minimum.toNanos();
    setLatency((from, to, source) -> minimum.toNanos() + (long) (source.nextDouble() * width));
  }

  /**
   * Sets the probability with which a message is lost.
   *
   * @param probability from 0 to 1
   */
  public synchronized void setLoss(double probability) {
    this.loss = probability;
  }

  /**
   * Sets the probability with which a message arrives twice.
   *
   * @param probability from 0 to 1
   */
  public synchronized void setDuplication(double probability) {
    this.duplication = probability;
  }

  /**
   * Drops all messages between two sets of addresses, in both directions, until {@link #heal()}.
   *
   * @param left the addresses on one side
   * @param right the addresses on the other side
   */
  public synchronized void partition(Set<PeerAddress> left, Set<PeerAddress> right) {
    partitionOneWay(left, right);
    partitionOneWay(right, left);
  }

  /**
   * Drops all messages from one set of addresses to another until {@link #heal()}.
   *
   * @param from the addresses of the senders
   * @param to the addresses of the receivers
   */
  public synchronized void partitionOneWay(Set<PeerAddress> from, Set<PeerAddress> to) {
    partitions.add(new Partition(new HashSet<>(from), new HashSet<>(to)));
  }

  /** Removes all partitions. */
  public synchronized void heal() {
    partitions.clear();
  }

  /**
   * Holds back the messages and timeouts that reach an address, as when its process is suspended.
   * The test must also stop running the periodic work of that process.
   *
   * @param address the address
   */
  public synchronized void pause(PeerAddress address) {
    paused.putIfAbsent(address, new ArrayList<>());
  }

  /**
   * Ends {@link #pause(PeerAddress)}; what was held back arrives in order, without further delay.
   *
   * @param address the address
   */
  public synchronized void resume(PeerAddress address) {
    List<Runnable> heldBack = paused.remove(address);
    if (heldBack != null) {
      heldBack.forEach(action -> schedule(Duration.ZERO, action));
    }
  }

  /**
   * Runs an action once the clock has advanced by a delay.
   *
   * @param delay the time from now, zero or positive
   * @param action the action; runs on the thread that advances the clock
   */
  public synchronized void schedule(Duration delay, Runnable action) {
    queue.add(new Event(clock.nanoTime() + delay.toNanos(), nextSequence++, action));
  }

  /**
   * Runs an action periodically, first after one period.
   *
   * @param period the time between two runs, positive
   * @param action the action; runs on the thread that advances the clock
   */
  public void repeat(Duration period, Runnable action) {
    schedule(
        period,
        () -> {
          repeat(period, action);
          action.run();
        });
  }

  /**
   * Advances the clock and runs every event that becomes due, each at its own time.
   *
   * @param step the time to advance by, zero or positive
   */
  public void advance(Duration step) {
    long endNanos = clock.nanoTime() + step.toNanos();
    for (Event event = pollDue(endNanos); event != null; event = pollDue(endNanos)) {
      advanceTo(event.atNanos);
      event.action.run();
    }
    advanceTo(endNanos);
  }

  private synchronized @Nullable Event pollDue(long endNanos) {
    Event next = queue.peek();
    return next == null || next.atNanos > endNanos ? null : queue.poll();
  }

  private void advanceTo(long nanos) {
    long stepNanos = nanos - clock.nanoTime();
    if (stepNanos > 0) {
      clock.advance(Duration.ofNanos(stepNanos));
    }
  }

  synchronized boolean isOpen(PeerAddress address) {
    return links.containsKey(address);
  }

  synchronized @Nullable FakePeerLink find(PeerAddress address) {
    return links.get(address);
  }

  synchronized void remove(FakePeerLink link) {
    links.remove(link.localAddress(), link);
  }

  /** Sends one message, which is delivered never, once or twice. */
  synchronized void send(PeerAddress from, PeerAddress to, Runnable arrival) {
    if (isPartitioned(from, to) || random.nextDouble() < loss) {
      return;
    }
    deliver(from, to, arrival);
    if (random.nextDouble() < duplication) {
      deliver(from, to, arrival);
    }
  }

  private void deliver(PeerAddress from, PeerAddress to, Runnable arrival) {
    Duration delay = Duration.ofNanos(latency.nanos(from, to, random));
    schedule(delay, () -> arrive(from, to, arrival));
  }

  private void arrive(PeerAddress from, PeerAddress to, Runnable arrival) {
    synchronized (this) {
      if (isPartitioned(from, to)) {
        return;
      }
    }
    runUnlessPaused(to, arrival);
  }

  /** Runs an action of the process at an address, or holds it back while that process is paused. */
  void runUnlessPaused(PeerAddress address, Runnable action) {
    synchronized (this) {
      List<Runnable> heldBack = paused.get(address);
      if (heldBack != null) {
        heldBack.add(action);
        return;
      }
    }
    action.run();
  }

  private boolean isPartitioned(PeerAddress from, PeerAddress to) {
    for (Partition partition : partitions) {
      if (partition.from.contains(from) && partition.to.contains(to)) {
        return true;
      }
    }
    return false;
  }
}
