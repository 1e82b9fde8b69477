package verbenahatch.routing;

import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Takes the less loaded of two targets drawn at random.
 *
 * <p>Two draws keep hosts with equal information from choosing the same target. When both draws are
 * full, all targets are looked at, so that a place is found if there is one.
 */
public final class PowerOfTwoChooser implements TargetChooser {

  private final RandomGenerator random;

  /**
   * Creates a chooser.
   *
   * @param random the source of draws, thread-safe
   */
  public PowerOfTwoChooser(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public @Nullable TargetState acquire(
      List<TargetState> targets,
      Predicate<TargetState> eligible,
      IntUnaryOperator placeLimit,
      long nowNanos) {
    if (targets.isEmpty()) {
      return null;
    }
    int size = targets.size();
    int first = random.nextInt(size);
    int second = size == 1 ? first : (first + 1 + random.nextInt(size - 1)) % size;
    TargetState better =
        better(
            ifPlace(targets.get(first), eligible, placeLimit, nowNanos),
            ifPlace(targets.get(second), eligible, placeLimit, nowNanos),
            nowNanos);
    if (better != null && better.tryAcquire(limit(better, placeLimit))) {
      return better;
    }
    return scan(targets, eligible, placeLimit, nowNanos);
  }

  private static @Nullable TargetState ifPlace(
      TargetState state,
      Predicate<TargetState> eligible,
      IntUnaryOperator placeLimit,
      long nowNanos) {
    return hasPlace(state, eligible, placeLimit, nowNanos) ? state : null;
  }

  private static @Nullable TargetState scan(
      List<TargetState> targets,
      Predicate<TargetState> eligible,
      IntUnaryOperator placeLimit,
      long nowNanos) {
    while (true) {
      TargetState best = null;
      for (TargetState state : targets) {
        if (hasPlace(state, eligible, placeLimit, nowNanos)) {
          best = better(best, state, nowNanos);
        }
      }
      if (best == null || best.tryAcquire(limit(best, placeLimit))) {
        return best;
      }
    }
  }

  private static boolean hasPlace(
      TargetState state,
      Predicate<TargetState> eligible,
      IntUnaryOperator placeLimit,
      long nowNanos) {
    return state.inFlight() < limit(state, placeLimit)
        && !state.isEjected(nowNanos)
        && !state.isPaused(nowNanos)
        && eligible.test(state);
  }

  private static int limit(TargetState state, IntUnaryOperator placeLimit) {
    return placeLimit.applyAsInt(state.target().slots());
  }

  private static @Nullable TargetState better(
      @Nullable TargetState a, @Nullable TargetState b, long nowNanos) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    return a.score(nowNanos) <= b.score(nowNanos) ? a : b;
  }
}
