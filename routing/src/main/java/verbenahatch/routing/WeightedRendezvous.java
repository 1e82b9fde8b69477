package verbenahatch.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the members that come first for a key in weighted rendezvous hashing.
 *
 * <p>Each member has a score, -ln(1 - f) / weight, where f is its hash for the key as a fraction
 * from 0 to 1; the lowest score comes first. A member comes first for a share of the keys
 * proportional to its weight, and its score depends on no other member: adding, removing or
 * resizing a member moves only keys to or from this member. Only ratios of weights matter. Members
 * of equal weight are in the order of their signed hashes.
 *
 * <p>Hosts of all architectures compute equal scores. Not thread-safe; an instance serves one key.
 *
 * @param <T> the type of the members
 */
public final class WeightedRendezvous<T> {

  /** Factor on a score that exceeds the rounding errors of a multiplication and a division. */
  private static final double ROUNDING_SLACK = 1 + 1e-12;

  private final int limit;
  private final List<T> members;
  private final double[] scores;
  private final long[] hashes;

  /** Upper bound of the scores that are among the first; NaN if none is. */
  private double maxScore;

  /**
   * Creates an empty ranking.
   *
   * @param limit the number of members to keep; none if it is 0 or negative
   */
  public WeightedRendezvous(int limit) {
    this.limit = Math.max(0, limit);
    this.members = new ArrayList<>(this.limit);
    this.scores = new double[this.limit];
    this.hashes = new long[this.limit];
    this.maxScore = this.limit == 0 ? Double.NaN : Double.POSITIVE_INFINITY;
  }

  /**
   * Adds a member if it is among the first ones so far; does not allocate.
   *
   * @param member the member
   * @param hash the uniformly distributed hash of the member and the key; of two members with equal
   *     scores and hashes, the one added first comes first
   * @param weight the weight of the member; without effect if it is not greater than 0
   */
  public void add(T member, long hash, double weight) {
    // A score is at least f / weight, as -ln(1 - f) is at least f. This spares most logarithms.
    if (toFraction(hash) <= maxScore * weight) {
      insert(member, hash, weight);
    }
  }

  private void insert(T member, long hash, double weight) {
    if (!(weight > 0)) {
      return;
    }
    int size = members.size();
    // Math.log1p may differ in the last bit between platforms.
    double score = -StrictMath.log1p(-toFraction(hash)) / weight;
    int rank = size;
    while (rank > 0 && precedes(score, hash, rank - 1)) {
      rank--;
    }
    if (rank == limit) {
      return;
    }
    if (size == limit) {
      members.remove(size - 1);
      size--;
    }
    System.arraycopy(scores, rank, scores, rank + 1, size - rank);
    System.arraycopy(hashes, rank, hashes, rank + 1, size - rank);
    scores[rank] = score;
    hashes[rank] = hash;
    members.add(rank, member);
    if (members.size() == limit) {
      maxScore = scores[limit - 1] * ROUNDING_SLACK;
    }
  }

  /** Returns the first members in order of preference; empty if none was added. */
  public List<T> toList() {
    return List.copyOf(members);
  }

  private boolean precedes(double score, long hash, int rank) {
    return score < scores[rank] || (score == scores[rank] && hash < hashes[rank]);
  }

  /** Maps a hash to a fraction from 0 to 1, in ascending order of the signed hash. */
  private static double toFraction(long hash) {
    return ((hash ^ Long.MIN_VALUE) >>> 11) * 0x1.0p-53;
  }
}
