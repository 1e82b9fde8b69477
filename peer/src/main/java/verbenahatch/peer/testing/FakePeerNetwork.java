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
 * Connects in-memory peer links under manual time.
 *
 * <p>Nothing happens until {@link #advance(Duration)} moves the clock; due events then run on the
 * calling thread in order of time. The same seed and the same calls give the same run. Requests and
 * answers are delayed, lost and duplicated independently. A request to an address without a link
 * fails as not sent; a request that is lost or cut off times out.
 */
public final class FakePeerNetwork {

  /** Computes the delay of one message. */
  @FunctionalInterface
  public interface Latency {

    /**
     * Computes the delay of one message.
     *
     * @param from the sender
     * @param to the receiver
     * @param random the random source of the network
     * @return nanoseconds, zero or positive
     */
    long nanos(PeerAddress from, PeerAddress to, Random random);
  }

  private record Event(long atNanos, long order, Runnable action) {}

  private record Cut(Set<PeerAddress> from, Set<PeerAddress> to) {}

  private final ManualClock clock;
  private final Random random;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atNanos != b.atNanos
                  ? Long.compare(a.atNanos, b.atNanos)
                  : Long.compare(a.order, b.order));
  private final Map<PeerAddress, FakePeerLink> links = new HashMap<>();
  private final Map<PeerAddress, List<Runnable>> paused = new HashMap<>();
  private final List<Cut> cuts = new ArrayList<>();
  private Latency latency = (from, to, source) -> 1_000_000L;
  private double loss;
  private double duplication;
  private long order;

  /**
   * Creates a network with 1 ms of delay and no loss.
   *
   * @param clock the clock that {@link #advance(Duration)} moves
   * @param seed the seed of the random source
   */
  public FakePeerNetwork(ManualClock clock, long seed) {
    this.clock = clock;
    this.random = new Random(seed);
  }

  /**
   * Opens a link; a link that was open at the address is closed, as when a process restarts.
   *
   * @param address the address
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
   * @param latency the rule, called once per message
   */
  public synchronized void setLatency(Latency latency) {
    this.latency = latency;
  }

  /**
   * Sets a uniformly distributed delay of every later message.
   *
   * @param least the smallest delay
   * @param most the largest delay
   */
  public void setDelay(Duration least, Duration most) {
    long width = most.toNanos() - least.toNanos();
    setLatency((from, to, source) -> least.toNanos() + (long) (source.nextDouble() * width));
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
   * Loses every message between two sets of addresses, in both directions, until {@link #heal()}.
   *
   * @param left one side
   * @param right the other side
   */
  public synchronized void partition(Set<PeerAddress> left, Set<PeerAddress> right) {
    partitionOneWay(left, right);
    partitionOneWay(right, left);
  }

  /**
   * Loses every message from one set of addresses to another until {@link #heal()}.
   *
   * @param from the senders
   * @param to the receivers
   */
  public synchronized void partitionOneWay(Set<PeerAddress> from, Set<PeerAddress> to) {
    cuts.add(new Cut(new HashSet<>(from), new HashSet<>(to)));
  }

  /** Removes every cut. */
  public synchronized void heal() {
    cuts.clear();
  }

  /**
   * Holds back the messages and time-outs that reach an address, as when its process is suspended.
   * The test must also stop running the periodic work of that process.
   *
   * @param address the address
   */
  public synchronized void pause(PeerAddress address) {
    paused.putIfAbsent(address, new ArrayList<>());
  }

  /**
   * Ends {@link #pause(PeerAddress)}; the messages held back arrive at once, in order.
   *
   * @param address the address
   */
  public synchronized void resume(PeerAddress address) {
    List<Runnable> held = paused.remove(address);
    if (held != null) {
      held.forEach(action -> schedule(Duration.ZERO, action));
    }
  }

  /**
   * Runs an action once the clock has advanced.
   *
   * @param delay the distance from now, zero or positive
   * @param action the action; runs on the thread that advances the clock
   */
  public synchronized void schedule(Duration delay, Runnable action) {
    queue.add(new Event(clock.nanoTime() + delay.toNanos(), order++, action));
  }

  /**
   * Runs an action again and again, first after one period.
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
   * Moves the clock and runs every event that becomes due, each at its own time.
   *
   * @param step the distance, zero or positive
   */
  public void advance(Duration step) {
    long end = clock.nanoTime() + step.toNanos();
    for (Event event = pollUntil(end); event != null; event = pollUntil(end)) {
      moveTo(event.atNanos);
      event.action.run();
    }
    moveTo(end);
  }

  private synchronized @Nullable Event pollUntil(long end) {
    Event next = queue.peek();
    return next == null || next.atNanos > end ? null : queue.poll();
  }

  private void moveTo(long nanos) {
    long distance = nanos - clock.nanoTime();
    if (distance > 0) {
      clock.advance(Duration.ofNanos(distance));
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

  /** Sends one message: it arrives never, once or twice. */
  synchronized void send(PeerAddress from, PeerAddress to, Runnable arrival) {
    if (isCut(from, to) || random.nextDouble() < loss) {
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
      if (isCut(from, to)) {
        return;
      }
    }
    runAt(to, arrival);
  }

  /** Runs an action that belongs to a process, or holds it back while that process is paused. */
  void runAt(PeerAddress address, Runnable action) {
    synchronized (this) {
      List<Runnable> held = paused.get(address);
      if (held != null) {
        held.add(action);
        return;
      }
    }
    action.run();
  }

  private boolean isCut(PeerAddress from, PeerAddress to) {
    for (Cut cut : cuts) {
      if (cut.from.contains(from) && cut.to.contains(to)) {
        return true;
      }
    }
    return false;
  }
}
