package verbenahatch.store;

import java.util.List;

/**
 * Contains the changes that one watch call returned, possibly none.
 *
 * @param resumeVersion the version to resume from in the next call
 * @param changed the objects written after the requested version
 * @param deleted the names of objects deleted after the requested version
 */
public record WatchBatch(long resumeVersion, List<StoredObject> changed, List<String> deleted) {}
