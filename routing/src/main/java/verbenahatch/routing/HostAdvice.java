package verbenahatch.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Selects the hosts that callers are advised to use, in proportion to what their machines carry.
 *
 * <p>Answers a fleet of a few large machines and many small ones: callers pick an advised host at
 * random, so with equal advice the small ones reach their limit while the large ones are idle. A
 * host is advised with a probability that is its capacity relative to the largest one. Requests for
 * one object then also meet in fewer hosts, which know the load of its targets better. If all hosts
 * are alike, all are advised. Stateless.
 */
public final class HostAdvice {

  /** Hosts that are always advised, so that a caller has another one if one of them fails. */
  static final int MIN_HOSTS = 3;

  /**
   * Describes a host that is ready for callers.
   *
   * @param address the address for callers
   * @param cores the cores that it may use; 0 or less if unknown, which counts as the most
   * @param linkMbps the bandwidth of its link in Mbit/s; 0 or less if unknown, which counts as the
   *     most
   */
  public record Candidate(String address, double cores, double linkMbps) {}

  private record Ranked(String address, double key) {}

  private HostAdvice() {}

  /**
   * Selects hosts for one caller.
   *
   * @param candidates the hosts that are ready; may be empty
   * @param draw returns random numbers from 0 to 1, one for each candidate
   * @return addresses in no particular order; all candidates if their capacities are equal, at
   *     least {@value #MIN_HOSTS} if there are as many
   */
  public static List<String> select(Collection<Candidate> candidates, DoubleSupplier draw) {
    double mostCores = 0;
    double mostMbps = 0;
    for (Candidate candidate : candidates) {
      mostCores = Math.max(mostCores, candidate.cores);
      mostMbps = Math.max(mostMbps, candidate.linkMbps);
    }
    List<String> selected = new ArrayList<>();
    List<Ranked> others = new ArrayList<>();
    for (Candidate candidate : candidates) {
      double fraction =
          Math.min(fraction(candidate.cores, mostCores), fraction(candidate.linkMbps, mostMbps));
      double drawn = draw.getAsDouble();
      if (drawn < fraction) {
        selected.add(candidate.address);
      } else {
        others.add(new Ranked(candidate.address, drawn / fraction));
      }
    }
    others.sort(Comparator.comparingDouble(Ranked::key));
    for (int i = 0; i < others.size() && selected.size() < MIN_HOSTS; i++) {
      selected.add(others.get(i).address);
    }
    return selected;
  }

  private static double fraction(double capacity, double most) {
    return capacity <= 0 ? 1 : capacity / most;
  }
}
