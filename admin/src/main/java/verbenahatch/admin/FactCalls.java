package verbenahatch.admin;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import verbenahatch.fleet.Fact;
import verbenahatch.fleet.FactStatus;
import verbenahatch.fleet.Facts;

/** Publishes facts on behalf of operators and tells how far they have spread. */
final class FactCalls {

  /** Longest wait for a majority; a withdrawn key has to stop working within 3 s. */
  private static final Duration SPREAD_WAIT = Duration.ofSeconds(2);

  /** Frees the caller's thread if the fleet's own timer does not run. */
  private static final Duration BACKSTOP = Duration.ofSeconds(4);

  private static final Facts.PublishResult NOT_SPREAD = new Facts.PublishResult(0, 0, false);

  private final Facts facts;

  FactCalls(Facts facts) {
    this.facts = facts;
  }

  /** Publishes a fact and waits until a majority holds it or the time is over. */
  Answer.Spread publish(String subject, Fact fact) {
    Facts.PublishResult spread =
        facts
            .publish(fact, SPREAD_WAIT)
            .completeOnTimeout(NOT_SPREAD, BACKSTOP.toMillis(), TimeUnit.MILLISECONDS)
            .join();
    FactStatus status = facts.status(fact);
    return new Answer.Spread(
        subject,
        spread.members(),
        Math.max(spread.acknowledged(), status.acknowledged()),
        spread.accepted(),
        status.durable(),
        status.inForce());
  }

  /** Tells how far a fact has spread, without publishing it. */
  Answer.Spread status(String subject, Fact fact) {
    FactStatus status = facts.status(fact);
    return new Answer.Spread(
        subject,
        status.members(),
        status.acknowledged(),
        status.accepted(),
        status.durable(),
        status.inForce());
  }
}
