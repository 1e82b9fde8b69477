package verbenahatch.routing;

import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Takes a place within this host's quota, or else at the less loaded of two targets drawn at
 * random.
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
    Predicate<TargetState> ownSlot = state -> state.isWithinQuota() && eligible.test(state);
    TargetState own = twoChoices(targets, ownSlot, placeLimit, nowNanos);
    if (own == null) {
      own = scan(targets, ownSlot, placeLimit, nowNanos);
    }
    if (own != null) {
      return own;
    }
    // Beyond the quota, other hosts hold the slots, so a target that is usually full is left alone.
    // A host without any quota must not be shut out by reports, which can be wrong.
    boolean hasQuota = hasQuota(targets);
    Predicate<TargetState> seemsFree =
        state -> !(hasQuota && state.seemsFull(nowNanos)) && eligible.test(state);
    TargetState other = twoChoices(targets, seemsFree, placeLimit, nowNanos);
    return other != null ? other : scan(targets, seemsFree, placeLimit, nowNanos);
  }

  private static boolean hasQuota(List<TargetState> targets) {
    for (TargetState state : targets) {
      if (state.quota() > 0) {
        return true;
      }
    }
    return false;
  }

  private @Nullable TargetState twoChoices(
      List<TargetState> targets,
      Predicate<TargetState> eligible,
      IntUnaryOperator placeLimit,
      long nowNanos) {
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
    return null;
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
