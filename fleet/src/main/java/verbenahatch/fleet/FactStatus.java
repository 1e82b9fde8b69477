package verbenahatch.fleet;

/**
 * Tells how far a fact has come.
 *
 * @param known whether this host knows it
 * @param accepted whether a majority of the members is known to hold it
 * @param durable whether it is in the store, as far as this host knows
 * @param inForce whether each live member holds it or certainly refuses what it forbids
 * @param acknowledged how many members are known to hold it
 * @param members the number of members
 */
public record FactStatus(
    boolean known,
    boolean accepted,
    boolean durable,
    boolean inForce,
    int acknowledged,
    int members) {}
