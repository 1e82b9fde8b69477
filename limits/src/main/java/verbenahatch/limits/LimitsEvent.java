package verbenahatch.limits;

import verbenahatch.kernel.EventCode;

/** Log events of the shared limits. */
public enum LimitsEvent implements EventCode {
  /** This host became the coordinator of a limit group. */
  COORDINATOR_ELECTED(4001, Level.INFO, "became coordinator of limit group {} in epoch {}"),
  /** Another host became the coordinator first. */
  ELECTION_CONFLICT(
      4002, Level.INFO, "another host became the coordinator of limit group {} after epoch {}"),
  /** The store did not respond, so a group has no coordinator until it does. */
  ELECTION_STORE_FAILED(4003, Level.WARN, "no coordinator for limit group {}: store: {}"),
  /** This host is no longer the coordinator of a limit group. */
  COORDINATOR_LOST(4004, Level.INFO, "no longer coordinator of limit group {} in epoch {}"),
  /** The shares of an expired incarnation were returned to the pool. */
  SHARES_RECLAIMED(4005, Level.WARN, "limit group {}: reclaimed the shares of incarnation {}"),
  /** This host got a new incarnation and dropped its shares. */
  SHARES_DROPPED(4006, Level.WARN, "dropped all shares: new incarnation {}"),
  /** A message from another host could not be parsed. */
  MESSAGE_INVALID(4007, Level.WARN, "invalid message about shares from incarnation {}: {}"),
  /** A record in the store could not be parsed. */
  RECORD_INVALID(4008, Level.ERROR, "invalid record of limit group {} in the store: {}"),
  /** A host has not closed an epoch yet, so the group has no coordinator. */
  CLOSE_WAITING(4009, Level.WARN, "limit group {}: incarnation {} has not closed epoch {}");

  private final Definition definition;

  LimitsEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
