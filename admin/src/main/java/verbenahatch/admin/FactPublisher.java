package verbenahatch.admin;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import verbenahatch.fleet.Fact;
import verbenahatch.fleet.FactStatus;
import verbenahatch.fleet.Facts;

/** Publishes facts on behalf of operators and reports how far they have spread. */
final class FactPublisher {

  /** Timeout for a majority, below the 3 s within which a withdrawn key has to stop working. */
  private static final Duration MAJORITY_TIMEOUT = Duration.ofSeconds(2);

  /** Releases the waiting thread even if the fleet's own timer does not run. */
  private static final Duration FALLBACK_TIMEOUT = Duration.ofSeconds(4);

  private static final Facts.PublishResult NOT_ACKNOWLEDGED = new Facts.PublishResult(0, 0, false);

  private final Facts facts;

  FactPublisher(Facts facts) {
    this.facts = facts;
  }

  /** Publishes a fact and waits until a majority holds it or the timeout has elapsed. */
  ResponseBodies.FactSpread publish(String subject, Fact fact) {
    Facts.PublishResult spread =
        facts
            .publish(fact, MAJORITY_TIMEOUT)
            .completeOnTimeout(NOT_ACKNOWLEDGED, FALLBACK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
            .join();
    FactStatus status = facts.status(fact);
    return new ResponseBodies.FactSpread(
        subject,
        spread.members(),
        Math.max(spread.acknowledged(), status.acknowledged()),
        spread.accepted(),
        status.durable(),
        status.inForce());
  }

  /** Returns how far a fact has spread, without publishing it. */
  ResponseBodies.FactSpread status(String subject, Fact fact) {
    FactStatus status = facts.status(fact);
    return new ResponseBodies.FactSpread(
        subject,
        status.members(),
        status.acknowledged(),
        status.accepted(),
        status.durable(),
        status.inForce());
  }
}
