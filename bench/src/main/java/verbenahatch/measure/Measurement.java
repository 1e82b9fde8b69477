package verbenahatch.measure;

import java.util.List;

/**
 * Measures one subject in bounded time.
 *
 * <p>Implementations register through {@code META-INF/services/verbenahatch.measure.Measurement}
 * and need a public constructor without parameters.
 */
public interface Measurement {

  /**
   * Returns the name by which the command line selects it.
   *
   * @return a name in lower case with hyphens
   */
  String name();

  /**
   * Runs the measurement.
   *
   * @param seed the seed of every random choice
   * @return the figures, not empty
   * @throws Exception if the measurement cannot run; the command then fails
   */
  List<Figure> run(long seed) throws Exception;
}
