package verbenahatch.fleet;

import verbenahatch.kernel.EventCode;

/** Events of the fleet module. */
public enum FleetEvent implements EventCode {
  /** A higher members epoch became known. */
  MEMBERS_ADOPTED(3501, Level.INFO, "members epoch {} adopted with {} members"),
  /** This host is a member now. */
  JOINED(3502, Level.INFO, "joined as {} in members epoch {}"),
  /** This host was fenced and goes on under a new incarnation. */
  SELF_FENCED(3503, Level.WARN, "incarnation {} was fenced; rejoining as {}"),
  /** A member out of contact is being removed. */
  FENCING(3504, Level.WARN, "fencing {} ({}) in zone {}: {}"),
  /** A member was removed by this host. */
  REMOVED(3505, Level.INFO, "removed {} ({}) in members epoch {}"),
  /** Another host changed the members first. */
  MEMBERS_CONFLICT(3506, Level.INFO, "members epoch {} was written by another host"),
  /** The effect of a write of the members is not known yet; it is read back. */
  MEMBERS_UNSETTLED(3507, Level.WARN, "effect of writing members epoch {} is unknown"),
  /** A write of the members whose answer was lost had taken effect. */
  MEMBERS_SETTLED(3508, Level.INFO, "members epoch {} had been written by this host"),
  /** This host lost contact with a majority and refuses keyed requests. */
  NOT_FRESH(3509, Level.WARN, "no contact with a majority of {} members; keyed requests refused"),
  /** This host has contact with a majority. */
  FRESH(3510, Level.INFO, "in contact with a majority of {} members"),
  /** The store stopped answering this host. */
  STORE_LOST(3511, Level.WARN, "store does not answer: {}"),
  /** The store answers this host again. */
  STORE_BACK(3512, Level.INFO, "store answers again"),
  /** The store or a peer returned an older value than the one in force; it was refused. */
  OLDER_VALUE(3513, Level.ERROR, "refused {} of generation {} from {}: generation {} is in force"),
  /** An object was adopted. */
  OBJECT_ADOPTED(3514, Level.INFO, "{} of generation {} in force, from {}"),
  /** An object cannot be read and was not adopted. */
  OBJECT_INVALID(3515, Level.ERROR, "refused {} from {}: {}"),
  /** A fact became known. */
  FACT_KNOWN(3516, Level.INFO, "fact known: {}"),
  /** A fact is held by a majority. */
  FACT_ACCEPTED(3517, Level.INFO, "fact accepted by {} of {} members: {}"),
  /** A fact is in the store. */
  FACT_DURABLE(3518, Level.INFO, "fact durable: {}"),
  /** A fact cannot be written into the store for a lasting reason. */
  FACT_NOT_DURABLE(3519, Level.ERROR, "fact not durable: {}: {}"),
  /** The store holds an older members epoch than the fleet; the newer one is written again. */
  MEMBERS_RESTORED(3520, Level.ERROR, "store holds members epoch {}; writing epoch {}"),
  /** This host left the members. */
  LEFT(3521, Level.INFO, "left the members as {}"),
  /** This host stops before it could leave the members; others will fence it. */
  LEAVE_INCOMPLETE(3522, Level.WARN, "stopping while still a member as {}");

  private final Definition definition;

  FleetEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
