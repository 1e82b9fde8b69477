package verbenahatch.model;

import org.jspecify.annotations.Nullable;

/**
 * Describes one key without revealing it.
 *
 * @param sha256 the SHA-256 hash of the key in lower-case hex
 * @param workspace the workspace that the key belongs to
 * @param issuedAtMillis the time when it was issued, in milliseconds since 1970-01-01T00:00:00Z
 * @param withdrawnAtMillis the time when it was withdrawn, in milliseconds since
 *     1970-01-01T00:00:00Z, null while it is valid
 */
public record KeyRecord(
    String sha256, String workspace, long issuedAtMillis, @Nullable Long withdrawnAtMillis) {}
