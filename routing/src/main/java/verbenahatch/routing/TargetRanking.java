package verbenahatch.routing;

import java.util.ArrayList;
import java.util.List;
import verbenahatch.kernel.Hashing;

/**
 * Ranks targets for an object by weighted rendezvous hashing of their keys.
 *
 * <p>Answers changing lists of targets: hosts with equal lists agree, in any order of the list, and
 * a change of one target moves only its own objects. Thread-safe if the view is.
 *
 * @param <T> the type of the targets
 */
public final class TargetRanking<T> {

  /** Size above which a target counts as this size, so that a false entry is not given all. */
  public static final int MAX_SIZE = 1_024;

  /** Load above which a target counts as this load, so that sums of loads remain finite. */
  private static final double MAX_LOAD = 1e9;

  /**
   * Reads the properties by which targets are ranked.
   *
   * @param <T> the type of the targets
   */
  public interface View<T> {

    /** Returns the hash of the target's key, see {@link TargetKey}. */
    long keyHash(T target);

    /** Returns the number of slots; counts as 1 if it is less and as {@link #MAX_SIZE} if more. */
    int size(T target);

    /** Returns the number of requests at the target; counts as 0 if it is negative or no number. */
    double load(T target);
  }

  private final View<T> view;

  /**
   * Creates a ranking of targets.
   *
   * @param view reads the properties of a target
   */
  public TargetRanking(View<T> view) {
    this.view = view;
  }

  /**
   * Returns the targets that come first for an object, without regard to their load.
   *
   * @param objectHash the hash of the object
   * @param candidates the usable targets; must allow access by index in constant time
   * @param count the maximum number of targets to return
   * @return the targets in order of preference; empty if there are none or the count is not
   *     positive
   */
  public List<T> first(long objectHash, List<? extends T> candidates, int count) {
    WeightedRendezvous<T> ranking = new WeightedRendezvous<>(Math.min(count, candidates.size()));
    for (T candidate : candidates) {
      add(ranking, candidate, objectHash);
    }
    return ranking.toList();
  }

  /**
   * Returns the targets that come first for an object, with those whose load exceeds the {@link
   * LoadBound} after all others.
   *
   * @param objectHash the hash of the object
   * @param candidates the usable targets; must allow access by index in constant time
   * @param count the maximum number of targets to return
   * @return the targets in order of preference; the first one is within the bound; empty if there
   *     are no candidates or the count is not positive
   */
  public List<T> firstWithinBound(long objectHash, List<? extends T> candidates, int count) {
    return rankByRoom(objectHash, candidates, count, false);
  }

  /**
   * Returns the targets that come first for an object, with those that have neither a free slot nor
   * a load within the {@link LoadBound} after all others.
   *
   * <p>At low load the bound alone skips targets that have free slots and the object in their
   * cache: in {@code ./measure bounded-load}, half of the warm requests become cold.
   *
   * @param objectHash the hash of the object
   * @param candidates the usable targets; must allow access by index in constant time
   * @param count the maximum number of targets to return
   * @return the targets in order of preference; empty if there are no candidates or the count is
   *     not positive
   */
  public List<T> firstWithRoom(long objectHash, List<? extends T> candidates, int count) {
    return rankByRoom(objectHash, candidates, count, true);
  }

  private List<T> rankByRoom(
      long objectHash, List<? extends T> candidates, int count, boolean freeSlotsCount) {
    double[] loads = new double[candidates.size()];
    double totalLoad = 0;
    long totalSize = 0;
    for (int i = 0; i < loads.length; i++) {
      T candidate = candidates.get(i);
      loads[i] = boundedLoad(view.load(candidate));
      totalLoad += loads[i];
      totalSize += boundedSize(view.size(candidate));
    }
    LoadBound bound = new LoadBound(totalLoad, Math.max(1, totalSize));
    int limit = Math.min(count, loads.length);
    WeightedRendezvous<T> withRoom = new WeightedRendezvous<>(limit);
    WeightedRendezvous<T> full = new WeightedRendezvous<>(limit);
    for (int i = 0; i < loads.length; i++) {
      T candidate = candidates.get(i);
      int size = boundedSize(view.size(candidate));
      boolean hasRoom = bound.hasRoom(loads[i], size) || (freeSlotsCount && loads[i] < size);
      add(hasRoom ? withRoom : full, candidate, objectHash);
    }
    List<T> ranked = new ArrayList<>(withRoom.toList());
    for (T candidate : full.toList()) {
      if (ranked.size() >= limit) {
        break;
      }
      ranked.add(candidate);
    }
    return ranked;
  }

  private void add(WeightedRendezvous<T> ranking, T candidate, long objectHash) {
    long hash = Hashing.mix(view.keyHash(candidate) ^ objectHash);
    ranking.add(candidate, hash, boundedSize(view.size(candidate)));
  }

  /** Returns a size within the bounds that a ranking uses. */
  public static int boundedSize(int size) {
    return Math.max(1, Math.min(MAX_SIZE, size));
  }

  private static double boundedLoad(double load) {
    return load > 0 ? Math.min(MAX_LOAD, load) : 0;
  }
}
