package verbenahatch.routing;

import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Chooses a target among those of one service, version and region. Thread-safe, free of locks. */
public interface TargetChooser {

  /**
   * Takes a place at a target.
   *
   * @param targets the targets to choose from
   * @param eligible whether a target may get work at all
   * @param placeLimit the largest number of own requests at a target, by its slots
   * @param nowNanos the time
   * @return the target with a place taken, null if none has one
   */
  @Nullable TargetState acquire(
      List<TargetState> targets,
      Predicate<TargetState> eligible,
      IntUnaryOperator placeLimit,
      long nowNanos);
}
