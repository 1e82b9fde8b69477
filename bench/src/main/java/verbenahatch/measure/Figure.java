package verbenahatch.measure;

import java.util.Locale;

/**
 * Holds a measured value and the target that it is compared with.
 *
 * @param name the name, in lower case with hyphens
 * @param value the measured value
 * @param unit the unit of value and bound
 * @param comparison how the value must compare with the bound
 * @param bound the stated target, which never comes from a measurement; 0 if there is none
 */
public record Figure(String name, double value, String unit, Comparison comparison, double bound) {

  /** Comparison of a value with its bound. */
  public enum Comparison {
    /** The value must not exceed the bound. */
    AT_MOST("<="),
    /** The value must not fall below the bound. */
    AT_LEAST(">="),
    /** The figure is shown for comparison and has no bound. */
    NONE("-");

    private final String symbol;

    Comparison(String symbol) {
      this.symbol = symbol;
    }
  }

  /**
   * Creates a figure that must not exceed a bound.
   *
   * @param name the name
   * @param value the measured value
   * @param unit the unit
   * @param bound the stated target
   * @return the figure
   */
  public static Figure atMost(String name, double value, String unit, double bound) {
    return new Figure(name, value, unit, Comparison.AT_MOST, bound);
  }

  /**
   * Creates a figure that must reach a bound.
   *
   * @param name the name
   * @param value the measured value
   * @param unit the unit
   * @param bound the stated target
   * @return the figure
   */
  public static Figure atLeast(String name, double value, String unit, double bound) {
    return new Figure(name, value, unit, Comparison.AT_LEAST, bound);
  }

  /**
   * Creates a figure without a target, such as a baseline or a slope.
   *
   * @param name the name
   * @param value the measured value
   * @param unit the unit
   * @return the figure
   */
  public static Figure info(String name, double value, String unit) {
    return new Figure(name, value, unit, Comparison.NONE, 0);
  }

  /**
   * Returns whether the figure meets its target. NaN never meets a target.
   *
   * @return true if the target is met or there is none
   */
  public boolean isOk() {
    return switch (comparison) {
      case AT_MOST -> value <= bound;
      case AT_LEAST -> value >= bound;
      case NONE -> true;
    };
  }

  /**
   * Formats the figure as one line: name, value, unit, target and "ok" or "short".
   *
   * @return the line, without the seed
   */
  public String line() {
    String target = comparison == Comparison.NONE ? "- -" : comparison.symbol + " " + format(bound);
    return "measure: "
        + name
        + " "
        + format(value)
        + " "
        + unit
        + " target "
        + target
        + " "
        + (isOk() ? "ok" : "short");
  }

  private static String format(double number) {
    if (number == Math.rint(number) && Math.abs(number) < 1e15) {
      return Long.toString((long) number);
    }
    return String.format(Locale.ROOT, "%.4g", number);
  }
}
