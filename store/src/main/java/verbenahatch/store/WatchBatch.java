package verbenahatch.store;

import java.util.List;

/**
 * Holds the changes that one watch call returned, possibly none.
 *
 * @param resumeVersion the version to resume from in the next call
 * @param changed the objects written since the version asked for
 * @param deleted the names of objects deleted since then
 */
public record WatchBatch(long resumeVersion, List<StoredObject> changed, List<String> deleted) {}
