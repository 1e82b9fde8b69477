package verbenahatch.routing;

import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Takes a slot within this host's quota, or otherwise at the less loaded of two targets drawn at
 * random.
 *
 * <p>Drawing two targets at random keeps hosts with the same information from choosing the same
 * target. If both are full, all targets are searched, so that a free slot is found if there is one.
 */
public final class PowerOfTwoChooser implements TargetChooser {

  private final RandomGenerator random;

  /**
   * Creates a chooser.
   *
   * @param random the source of random numbers, thread-safe
   */
  public PowerOfTwoChooser(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public @Nullable TargetState acquire(
      List<TargetState> targets,
      Predicate<TargetState> eligible,
      IntUnaryOperator slotLimit,
      long nowNanos) {
    if (targets.isEmpty()) {
      return null;
    }
    Predicate<TargetState> withinQuota = state -> state.isWithinQuota() && eligible.test(state);
    TargetState quotaTarget = twoChoices(targets, withinQuota, slotLimit, nowNanos);
    if (quotaTarget == null) {
      quotaTarget = scan(targets, withinQuota, slotLimit, nowNanos);
    }
    if (quotaTarget != null) {
      return quotaTarget;
    }
    // Slots beyond the quota belong to the quotas of other hosts, so a target that is usually full
    // is skipped. Load reports can be wrong, so they must not exclude a host without any quota from
    // all targets.
    boolean hasQuota = hasQuota(targets);
    Predicate<TargetState> seemsAvailable =
        state -> !(hasQuota && state.seemsFull(nowNanos)) && eligible.test(state);
    TargetState otherTarget = twoChoices(targets, seemsAvailable, slotLimit, nowNanos);
    return otherTarget != null ? otherTarget : scan(targets, seemsAvailable, slotLimit, nowNanos);
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
      IntUnaryOperator slotLimit,
      long nowNanos) {
    int size = targets.size();
    int first = random.nextInt(size);
    int second = size == 1 ? first : (first + 1 + random.nextInt(size - 1)) % size;
    TargetState lessLoaded =
        lessLoaded(
            ifHasFreeSlot(targets.get(first), eligible, slotLimit, nowNanos),
            ifHasFreeSlot(targets.get(second), eligible, slotLimit, nowNanos),
            nowNanos);
    if (lessLoaded != null && lessLoaded.tryAcquire(limit(lessLoaded, slotLimit))) {
      return lessLoaded;
    }
    return null;
  }

  private static @Nullable TargetState ifHasFreeSlot(
      TargetState state,
      Predicate<TargetState> eligible,
      IntUnaryOperator slotLimit,
      long nowNanos) {
    return hasFreeSlot(state, eligible, slotLimit, nowNanos) ? state : null;
  }

  private static @Nullable TargetState scan(
      List<TargetState> targets,
      Predicate<TargetState> eligible,
      IntUnaryOperator slotLimit,
      long nowNanos) {
    while (true) {
      TargetState best = null;
      for (TargetState state : targets) {
        if (hasFreeSlot(state, eligible, slotLimit, nowNanos)) {
          best = lessLoaded(best, state, nowNanos);
        }
      }
      if (best == null || best.tryAcquire(limit(best, slotLimit))) {
        return best;
      }
    }
  }

  private static boolean hasFreeSlot(
      TargetState state,
      Predicate<TargetState> eligible,
      IntUnaryOperator slotLimit,
      long nowNanos) {
    return state.inFlight() < limit(state, slotLimit)
        && !state.isEjected(nowNanos)
        && !state.hasRecentlyShed(nowNanos)
        && eligible.test(state);
  }

  private static int limit(TargetState state, IntUnaryOperator slotLimit) {
    return slotLimit.applyAsInt(state.target().slots());
  }

  private static @Nullable TargetState lessLoaded(
      @Nullable TargetState a, @Nullable TargetState b, long nowNanos) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    return a.score(nowNanos) <= b.score(nowNanos) ? a : b;
  }
}
