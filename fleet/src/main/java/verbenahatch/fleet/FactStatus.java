package verbenahatch.fleet;

/**
 * The progress of a fact: known, accepted, durable, in force.
 *
 * @param known whether it is known to this host
 * @param accepted whether a majority of the members is known to hold it, or it is durable
 * @param durable whether it is known to this host to be in the store
 * @param inForce whether each running member holds it or is certain to refuse what it forbids
 * @param acknowledged the number of members known to hold it
 * @param members the number of members
 */
public record FactStatus(
    boolean known,
    boolean accepted,
    boolean durable,
    boolean inForce,
    int acknowledged,
    int members) {}
