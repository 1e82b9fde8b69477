package verbenahatch.fleet;

import verbenahatch.kernel.EventCode;

/** Events of the fleet module. */
public enum FleetEvent implements EventCode {
  /** A higher members epoch became known. */
  MEMBERS_ADOPTED(3501, Level.INFO, "members epoch {} adopted with {} members"),
  /** This host joined the members. */
  JOINED(3502, Level.INFO, "joined as {} in members epoch {}"),
  /** This host was fenced and rejoins under a new incarnation. */
  SELF_FENCED(3503, Level.WARN, "incarnation {} was fenced; rejoining as {}"),
  /** A member out of contact is being removed. */
  FENCING(3504, Level.WARN, "fencing {} ({}) in zone {}: {}"),
  /** A member was removed by this host. */
  REMOVED(3505, Level.INFO, "removed {} ({}) in members epoch {}"),
  /** A write of the members failed because another host had changed them. */
  MEMBERS_CONFLICT(3506, Level.INFO, "members epoch {} was written by another host"),
  /** The outcome of a write of the members is unknown; the record is read back. */
  MEMBERS_UNSETTLED(3507, Level.WARN, "outcome of writing members epoch {} is unknown"),
  /** A write of the members whose response was lost had taken effect. */
  MEMBERS_SETTLED(3508, Level.INFO, "members epoch {} had been written by this host"),
  /** This host lost contact with a majority and refuses keyed requests. */
  NOT_FRESH(3509, Level.WARN, "no contact with a majority of {} members; keyed requests refused"),
  /** This host is in contact with a majority of the members. */
  FRESH(3510, Level.INFO, "in contact with a majority of {} members"),
  /** The store became unavailable to this host. */
  STORE_LOST(3511, Level.WARN, "store unavailable: {}"),
  /** The store is available to this host again. */
  STORE_BACK(3512, Level.INFO, "store available again"),
  /** The store or a peer returned an older value than the one in force, which was refused. */
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
  /** A fact cannot be written to the store for a permanent reason. */
  FACT_NOT_DURABLE(3519, Level.ERROR, "fact not durable: {}: {}"),
  /** The store holds an older members epoch than this host, which writes the newer state again. */
  MEMBERS_RESTORED(3520, Level.ERROR, "store holds members epoch {}; writing epoch {}"),
  /** This host left the members. */
  LEFT(3521, Level.INFO, "left the members as {}"),
  /** This host stops before it could leave the members; other hosts will fence it. */
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
