package verbenahatch.limits;

import verbenahatch.kernel.EventCode;

/** Events of the shares of limits. */
public enum LimitsEvent implements EventCode {
  /** This host became the home of a group. */
  HOME_TAKEN(4001, Level.INFO, "home of limit group {} in epoch {}"),
  /** Another host became the home first. */
  HOME_CONFLICT(4002, Level.INFO, "another host became the home of limit group {} after epoch {}"),
  /** The store did not answer, so a group has no home until it does. */
  HOME_STORE_FAILED(4003, Level.WARN, "no home for limit group {}: store: {}"),
  /** This host is no longer the home of a group. */
  HOME_LOST(4004, Level.INFO, "no longer home of limit group {} in epoch {}"),
  /** The shares of a host that is gone went back to the pool. */
  SHARES_RECLAIMED(4005, Level.WARN, "limit group {}: reclaimed the shares of incarnation {}"),
  /** This host drew a new incarnation and dropped its shares. */
  SHARES_DROPPED(4006, Level.WARN, "dropped all shares: new incarnation {}"),
  /** A message from another host could not be read. */
  MESSAGE_INVALID(4007, Level.WARN, "invalid message about shares from incarnation {}: {}"),
  /** A record in the store could not be read. */
  RECORD_INVALID(4008, Level.ERROR, "invalid record of limit group {} in the store: {}"),
  /** A host has not closed an epoch yet, so the group has no home. */
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
