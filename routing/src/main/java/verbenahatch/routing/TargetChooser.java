package verbenahatch.routing;

import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Chooses a target among those of one service, version and region. Thread-safe and lock-free. */
public interface TargetChooser {

  /**
   * Takes a slot at one of the targets.
   *
   * @param targets the targets to choose from
   * @param eligible whether a target may receive requests at all
   * @param slotLimit the largest number of this host's requests in flight at a target, given its
   *     slots
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return the target at which a slot was taken, null if none has a free one
   */
  @Nullable TargetState acquire(
      List<TargetState> targets,
      Predicate<TargetState> eligible,
      IntUnaryOperator slotLimit,
      long nowNanos);
}
