package verbenahatch.measure;

import java.time.Duration;
import java.util.List;

/**
 * Describes a service under release: its hosts, its load and its latency.
 *
 * @param name the name of the service
 * @param hosts the number of entry hosts
 * @param maxDelay the longest one-way delay between hosts
 * @param requestsPerSecond the rate of all hosts together
 * @param medianMillis the median latency in milliseconds
 * @param routeFractions the fraction of requests on each route, with the sum 1
 */
record ReleaseScenario(
    String name,
    int hosts,
    Duration maxDelay,
    double requestsPerSecond,
    double medianMillis,
    List<Double> routeFractions) {

  private static final Duration NDIAYE_DELAY = Duration.ofMillis(35);
  private static final Duration COTOPAXI_DELAY = Duration.ofMillis(20);

  /** Returns the services of the sign makers: proofs, orders, and a few slow uploads. */
  static List<ReleaseScenario> ndiaye() {
    return List.of(
        new ReleaseScenario("catalogue", 9, NDIAYE_DELAY, 240, 40, List.of(0.7, 0.2, 0.1)),
        new ReleaseScenario("orders", 9, NDIAYE_DELAY, 60, 80, List.of(0.6, 0.4)),
        new ReleaseScenario("artwork", 9, NDIAYE_DELAY, 30, 1500, List.of(0.8, 0.2)));
  }

  /** Returns the services of the events division: listings, reservations and documents. */
  static List<ReleaseScenario> cotopaxi() {
    return List.of(
        new ReleaseScenario("listings", 8, COTOPAXI_DELAY, 400, 30, List.of(0.6, 0.3, 0.1)),
        new ReleaseScenario("reservations", 8, COTOPAXI_DELAY, 120, 60, List.of(0.75, 0.25)),
        new ReleaseScenario("documents", 8, COTOPAXI_DELAY, 40, 800, List.of(0.7, 0.3)));
  }
}
