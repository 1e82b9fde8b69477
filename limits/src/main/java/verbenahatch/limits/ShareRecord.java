package verbenahatch.limits;

/**
 * Names the home of a group of limits, as {@code shares/<group>} in the store.
 *
 * @param epoch the number of the home, one more than that of the home before
 * @param home the incarnation id of the home
 */
public record ShareRecord(long epoch, String home) {

  /**
   * Names the object in the store.
   *
   * @param group the group
   * @return the name of the object
   */
  public static String objectName(int group) {
    return "shares/" + group;
  }
}
