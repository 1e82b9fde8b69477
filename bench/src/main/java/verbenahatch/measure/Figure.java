package verbenahatch.measure;

import java.util.Locale;

/**
 * Holds one measured figure and the target it is compared with.
 *
 * @param name the name, in lower case with hyphens
 * @param value the measured value
 * @param unit the unit of value and bound
 * @param op how the value must relate to the bound
 * @param bound the stated target; it never comes from a measurement
 */
public record Figure(String name, double value, String unit, Op op, double bound) {

  /** Relates a value to its bound. */
  public enum Op {
    /** The value must not exceed the bound. */
    AT_MOST("<="),
    /** The value must not fall below the bound. */
    AT_LEAST(">="),
    /** The figure is shown for comparison and has no bound. */
    NONE("-");

    private final String sign;

    Op(String sign) {
      this.sign = sign;
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
    return new Figure(name, value, unit, Op.AT_MOST, bound);
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
    return new Figure(name, value, unit, Op.AT_LEAST, bound);
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
    return new Figure(name, value, unit, Op.NONE, 0);
  }

  /**
   * Tells whether the figure meets its target. A value that is not a number never does.
   *
   * @return true if it does or if there is no target
   */
  public boolean isOk() {
    return switch (op) {
      case AT_MOST -> value <= bound;
      case AT_LEAST -> value >= bound;
      case NONE -> true;
    };
  }

  /**
   * Formats the figure as one line of output.
   *
   * @return the line, without the seed
   */
  public String line() {
    String target = op == Op.NONE ? "- -" : op.sign + " " + format(bound);
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
