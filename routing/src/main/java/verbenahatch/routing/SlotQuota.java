package verbenahatch.routing;

import java.util.List;

/**
 * Divides the slots of targets among hosts, so that hosts that know little of each other's requests
 * do not meet at the same slot.
 *
 * <p>A quota is a preference and no bound: a host that needs more uses any target with a place.
 */
public final class SlotQuota {

  private SlotQuota() {}

  /**
   * Sets the quota of one host at each target.
   *
   * @param states the targets of one service, version and region, in an order that all hosts share
   * @param host the position of the host among those that divide the slots, negative for none
   * @param hosts the number of hosts that divide the slots
   */
  public static void assign(List<TargetState> states, int host, int hosts) {
    int most = 0;
    for (TargetState state : states) {
      state.setQuota(0);
      most = Math.max(most, state.target().slots());
    }
    if (host < 0 || hosts <= 0) {
      return;
    }
    int number = 0;
    for (int slot = 0; slot < most; slot++) {
      for (TargetState state : states) {
        if (slot >= state.target().slots()) {
          continue;
        }
        if (number % hosts == host) {
          state.setQuota(state.quota() + 1);
        }
        number++;
      }
    }
  }
}
