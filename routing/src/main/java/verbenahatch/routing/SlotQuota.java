package verbenahatch.routing;

import java.util.List;

/**
 * Divides the slots of targets among hosts, so that hosts that know little of each other's requests
 * do not compete for the same slot.
 *
 * <p>A quota is a preference and not a limit: a host that needs more slots uses any target with a
 * free one.
 */
public final class SlotQuota {

  private SlotQuota() {}

  /**
   * Sets the quota of one host at each target.
   *
   * @param states the targets of one service, version and region, in an order that is the same on
   *     all hosts
   * @param hostIndex the position of the host among those that divide the slots, from 0; negative
   *     if the host gets no quota
   * @param hostCount the number of hosts that divide the slots
   */
  public static void assign(List<TargetState> states, int hostIndex, int hostCount) {
    int maxSlots = 0;
    for (TargetState state : states) {
      state.setQuota(0);
      maxSlots = Math.max(maxSlots, state.target().slots());
    }
    if (hostIndex < 0 || hostCount <= 0) {
      return;
    }
    int slotNumber = 0;
    for (int slot = 0; slot < maxSlots; slot++) {
      for (TargetState state : states) {
        if (slot >= state.target().slots()) {
          continue;
        }
        if (slotNumber % hostCount == hostIndex) {
          state.setQuota(state.quota() + 1);
        }
        slotNumber++;
      }
    }
  }
}
