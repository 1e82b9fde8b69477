package verbenahatch.store.wire;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Defines the paths, parameters and bodies of the platform's object API.
 *
 * <p>Bodies are JSON with values in base64, except that the body of a write is the value itself.
 * Readers ignore unknown properties, so that the platform can add properties.
 */
public final class Wire {

  /** Path of one object: {@code GET}, {@code PUT}, {@code DELETE}. */
  public static final String OBJECT = "/v1/object";

  /** Path of the list of objects: {@code GET}. */
  public static final String OBJECTS = "/v1/objects";

  /** Path of a watch: {@code GET}. */
  public static final String WATCH = "/v1/watch";

  /** Path of the list of hosts: {@code GET}. */
  public static final String HOSTS = "/v1/hosts";

  /** Parameter with the name of an object. */
  public static final String NAME = "name";

  /** Parameter with the prefix of the requested names. */
  public static final String PREFIX = "prefix";

  /** Parameter with the version that a write replaces, 0 to create. */
  public static final String EXPECTED_VERSION = "expectedVersion";

  /** Parameter with the id of a write. */
  public static final String WRITE_ID = "writeId";

  /** Parameter with the version after which a watch returns changes. */
  public static final String RESUME_VERSION = "resumeVersion";

  /** Parameter with the longest time that a watch waits, in milliseconds. */
  public static final String MAX_WAIT_MILLIS = "maxWaitMillis";

  private Wire() {}

  /**
   * Contains one object.
   *
   * @param name the name of the object
   * @param value the bytes, null in the response to a write
   * @param version the store-wide version of the object
   * @param writeId the id of the last write of the object
   */
  @SuppressWarnings("ArrayRecordComponent")
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ObjectBody(String name, byte @Nullable [] value, long version, String writeId) {}

  /**
   * Contains several objects.
   *
   * @param objects the objects in order of name
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ListBody(List<ObjectBody> objects) {}

  /**
   * Contains the changes that a watch returns.
   *
   * @param resumeVersion the version to resume from in the next watch
   * @param changed the objects written
   * @param deleted the names of the objects deleted
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record WatchBody(long resumeVersion, List<ObjectBody> changed, List<String> deleted) {}

  /**
   * Contains an error.
   *
   * @param reason a description of the failure
   * @param currentVersion the current version of the object if the error is a conflict
   * @param written false if the call certainly had no effect, true if that is not known
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ErrorBody(String reason, long currentVersion, boolean written) {}

  /**
   * Contains one host.
   *
   * @param host the name of the host
   * @param address the IP address of the host
   * @param leaving whether the platform is about to stop the host
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record HostBody(String host, String address, boolean leaving) {}

  /**
   * Contains the list of hosts.
   *
   * @param hosts the hosts in order of name
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record HostsBody(List<HostBody> hosts) {}
}
