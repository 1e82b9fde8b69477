package verbenahatch.store;

/**
 * Represents one object as stored by the platform.
 *
 * @param name the name, for example {@code environment/production}
 * @param value the bytes, at most 1 MB; not copied
 * @param version the store-wide version that the last write of the object was assigned
 * @param writeId the id that the writer chose for that write
 */
// The array component is shared on purpose: values are up to 1 MB and are treated as immutable.
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(String name, byte[] value, long version, String writeId) {}
