package verbenahatch.fleet;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Holds the grow-only set of facts and spreads new ones. Thread-safe. */
public interface Facts {

  /**
   * Tells whether this host knows a fact.
   *
   * @param fact the fact
   * @return true if known
   */
  boolean contains(Fact fact);

  /**
   * Adds a fact here and pushes it to the other members.
   *
   * @param fact the fact
   * @param timeout the longest time to wait for the majority
   * @return completes with how far the fact has spread when a majority acknowledged it or the time
   *     is over; never exceptionally
   */
  CompletableFuture<PublishResult> publish(Fact fact, Duration timeout);

  /**
   * Calls a listener for each fact that is known and for each that becomes known; a fact that
   * arrives during this call may be told twice.
   *
   * @param listener the listener; must not block
   */
  void onFact(Consumer<Fact> listener);

  /**
   * Tells how far a fact has come: accepted, durable, in force.
   *
   * @param fact the fact
   * @return what this host knows about it
   */
  default FactStatus status(Fact fact) {
    return new FactStatus(contains(fact), false, false, false, 0, 0);
  }

  /**
   * Tells how far a fact has spread.
   *
   * @param members the number of members
   * @param acknowledged how many of them, with this host, hold the fact
   * @param accepted whether this host was fresh and a majority of the members holds it
   */
  record PublishResult(int members, int acknowledged, boolean accepted) {}
}
