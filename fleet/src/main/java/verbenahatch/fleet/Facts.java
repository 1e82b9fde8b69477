package verbenahatch.fleet;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Holds the grow-only set of facts and replicates new ones to the other members. Thread-safe. */
public interface Facts {

  /**
   * Returns whether a fact is known to this host.
   *
   * @param fact the fact
   * @return true if known
   */
  boolean contains(Fact fact);

  /**
   * Adds a fact on this host and pushes it to the other members.
   *
   * @param fact the fact
   * @param timeout the longest time to wait for the acknowledgements of a majority
   * @return a future that completes when a majority acknowledged the fact or the timeout is over;
   *     never completes exceptionally
   */
  CompletableFuture<PublishResult> publish(Fact fact, Duration timeout);

  /**
   * Calls a listener for each known fact and for each fact that becomes known later. A fact that
   * arrives during this call may be passed twice.
   *
   * @param listener the listener; must not block
   */
  void onFact(Consumer<Fact> listener);

  /**
   * Returns the progress of a fact: accepted, durable, in force.
   *
   * @param fact the fact
   * @return its status as known to this host
   */
  default FactStatus status(Fact fact) {
    return new FactStatus(contains(fact), false, false, false, 0, 0);
  }

  /**
   * The result of publishing a fact.
   *
   * @param members the number of members
   * @param acknowledged the number of members, including this host, known to hold the fact
   * @param accepted whether this host was fresh and a majority of the members holds it
   */
  record PublishResult(int members, int acknowledged, boolean accepted) {}
}
