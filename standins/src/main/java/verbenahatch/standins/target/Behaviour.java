package verbenahatch.standins.target;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * States how a target behaves now; the control path replaces it as a whole.
 *
 * @param workMillis the time that a request takes, in milliseconds
 * @param queue the number of requests that wait for a slot; more are shed
 * @param coldMillis how long after the start requests take longer, in milliseconds
 * @param coldFactor by how much they take longer, at least 1
 * @param draining whether new work is shed and health fails
 * @param health the status of the health endpoint, 0 for the true one
 * @param loadLagMillis by how much load reports lag, in milliseconds
 * @param loadFactor what the reported number of requests is multiplied with; 0 means 1
 * @param loadSilent whether the load endpoint fails
 * @param faults the faults, the first that applies counts
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
   * Returns a behaviour without faults.
   *
   * @param workMillis the time that a request takes, in milliseconds
   * @return the behaviour
   */
  public static Behaviour healthy(double workMillis) {
    return new Behaviour(workMillis, 0, 0, 1, false, 0, 0, 1, false, List.of());
  }

  /**
   * Returns the same behaviour with other faults.
   *
   * @param rules the faults
   * @return the behaviour
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
   * Returns the same behaviour with another drain state.
   *
   * @param drain whether new work is shed
   * @return the behaviour
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
