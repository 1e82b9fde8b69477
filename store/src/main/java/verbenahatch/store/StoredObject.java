package verbenahatch.store;

/**
 * Holds one object as the platform keeps it.
 *
 * @param name the name, for example {@code environment/production}
 * @param value the bytes, at most 1 MB; not copied
 * @param version the store-wide version of the write that made it
 * @param writeId the id that the writer gave to that write
 */
// The array component is shared on purpose: values are up to 1 MB and are treated as immutable.
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(String name, byte[] value, long version, String writeId) {}
