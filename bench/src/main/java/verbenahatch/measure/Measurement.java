package verbenahatch.measure;

import java.util.List;

/**
 * Measures one property of the system in bounded time.
 *
 * <p>Implementations register through {@code META-INF/services/verbenahatch.measure.Measurement}
 * and need a public constructor without parameters.
 */
public interface Measurement {

  /**
   * Returns the name that selects this measurement on the command line.
   *
   * @return a name in lower case with hyphens
   */
  String name();

  /**
   * Runs the measurement.
   *
   * @param seed the seed of every random choice
   * @return the measured figures, not empty
   * @throws Exception if the measurement cannot run; the command then fails
   */
  List<Figure> run(long seed) throws Exception;
}
