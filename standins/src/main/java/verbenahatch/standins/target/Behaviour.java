package verbenahatch.standins.target;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Describes how a target currently behaves; the control path replaces it as a whole.
 *
 * @param workMillis the processing time of a request, in milliseconds
 * @param queue the largest number of requests that wait for a slot; further requests are shed
 * @param coldMillis the time after the start during which requests take longer, in milliseconds
 * @param coldFactor the factor by which the processing time is multiplied during that time, at
 *     least 1
 * @param draining whether new requests are shed and the health endpoint reports 503
 * @param health the HTTP status of the health endpoint, 0 for the actual state
 * @param loadLagMillis the age of the load that is reported, in milliseconds
 * @param loadFactor the factor by which the reported number of requests in flight is multiplied; 0
 *     means 1
 * @param loadSilent whether the load endpoint fails and responses carry no load header
 * @param faults the faults, of which the first that matches a request applies; null for none
 */
public record Behaviour(
    double workMillis,
    int queue,
    long coldMillis,
    double coldFactor,
    boolean draining,
    int health,
    long loadLagMillis,
    double loadFactor,
    boolean loadSilent,
    @Nullable List<FaultRule> faults) {

  /**
   * Returns a behaviour without faults, queue or cold start.
   *
   * @param workMillis the processing time of a request, in milliseconds
   * @return the behaviour
   */
  public static Behaviour healthy(double workMillis) {
    return new Behaviour(workMillis, 0, 0, 1, false, 0, 0, 1, false, List.of());
  }

  /**
   * Returns a copy of this behaviour with other faults.
   *
   * @param rules the faults, of which the first that matches a request applies
   * @return the copy
   */
  public Behaviour withFaults(FaultRule... rules) {
    return new Behaviour(
        workMillis,
        queue,
        coldMillis,
        coldFactor,
        draining,
        health,
        loadLagMillis,
        loadFactor,
        loadSilent,
        List.of(rules));
  }

  /**
   * Returns a copy of this behaviour with another drain state.
   *
   * @param drain whether new requests are shed and the health endpoint reports 503
   * @return the copy
   */
  public Behaviour withDraining(boolean drain) {
    return new Behaviour(
        workMillis,
        queue,
        coldMillis,
        coldFactor,
        drain,
        health,
        loadLagMillis,
        loadFactor,
        loadSilent,
        faults);
  }
}
