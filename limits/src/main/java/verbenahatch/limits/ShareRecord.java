package verbenahatch.limits;

/**
 * Records the coordinator of a group of limits, stored as {@code shares/<group>}.
 *
 * @param epoch the number of the epoch, one more than that of the previous coordinator
 * @param home the incarnation id of the coordinator
 */
public record ShareRecord(long epoch, String home) {

  /**
   * Returns the name of the object in the store.
   *
   * @param group the group, from 0 to {@link LimitSpec#GROUPS} - 1
   * @return the name of the object
   */
  public static String objectName(int group) {
    return "shares/" + group;
  }
}
