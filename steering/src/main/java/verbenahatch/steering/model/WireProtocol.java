package verbenahatch.steering.model;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/** Decodes and encodes the header fields and directory messages of callers and targets. */
public interface WireProtocol {

  /**
   * Holds the parts of a caller's request that steering needs.
   *
   * @param id the caller's id of this attempt, null if it sent none
   * @param waitMillis the time in milliseconds that the caller will wait; negative if not given
   * @param objectKey the key of the object that the request concerns, null if it names none
   * @param key the caller's key, null if it sent none
   */
  record CallerRequest(
      @Nullable String id, long waitMillis, @Nullable String objectKey, @Nullable String key) {}

  /**
   * Holds the fields that the host adds to the caller's for a target.
   *
   * @param remainingMillis the time in milliseconds after which nobody waits for the response
   * @param targetId the id of the only target that may run the request
   * @param workspace the workspace whose key came with the request, null on open routes
   */
  record TargetRequest(long remainingMillis, String targetId, @Nullable String workspace) {}

  /**
   * Holds the fields by which a target describes its response.
   *
   * @param requestId the id of the request that it responds to, null if it has none
   * @param signed whether it carries the target's signature
   * @param notRun whether the target states that the request did not run
   * @param load the load of the target, null if not reported
   * @param leaving whether the target announces that it is about to stop
   * @param backOffMillis the time in milliseconds for which the target wants no requests of this
   *     host, 0 if not given; applies only if the target refused the request
   */
  record TargetResponse(
      @Nullable String requestId,
      boolean signed,
      boolean notRun,
      @Nullable TargetLoad load,
      boolean leaving,
      long backOffMillis) {}

  /**
   * Holds the load that a target reports.
   *
   * @param running the number of requests that are running
   * @param waiting the number of requests that wait for a slot
   * @param slots the maximum number of requests that may run at the same time
   * @param workTimePercent how long work takes on the target's machine at this moment, in percent
   *     of the usual time
   */
  record TargetLoad(int running, int waiting, int slots, int workTimePercent) {

    /** The work time in percent on a machine that is as fast as usual. */
    public static final int USUAL_WORK_TIME_PERCENT = 100;
  }

  /**
   * Holds a caller's query to the directory.
   *
   * @param region the caller's region, empty if unknown
   * @param zone the caller's zone, empty if unknown
   */
  record DirectoryQuery(String region, String zone) {}

  /**
   * Decodes the fields of a caller's request.
   *
   * @param fields the header fields
   * @return the decoded request
   */
  CallerRequest readRequest(HttpFields fields);

  /**
   * Writes the fields for a target: those of the caller that concern the message, except the key
   * and the fields that only a host may set, and those of the host.
   *
   * @param caller the caller's fields
   * @param request the fields that the host adds
   * @param destination the fields to write to
   */
  void writeRequest(HttpFields caller, TargetRequest request, HttpFields.Mutable destination);

  /**
   * Decodes the fields of a target's response.
   *
   * @param fields the header fields
   * @return the decoded fields
   */
  TargetResponse readResponse(HttpFields fields);

  /**
   * Copies the fields of a target's response that concern the message.
   *
   * @param target the target's fields
   * @param destination the fields to write to
   */
  void copyResponse(HttpFields target, HttpFields.Mutable destination);

  /**
   * Returns whether a path is that of the directory.
   *
   * @param path the path of a request
   * @return true for the directory's path
   */
  boolean isDirectoryPath(String path);

  /**
   * Decodes a query to the directory.
   *
   * @param query the query parameters
   * @return the decoded query
   */
  DirectoryQuery readDirectoryQuery(Fields query);

  /**
   * Encodes a response of the directory.
   *
   * @param addresses the addresses of hosts for callers
   * @param timeToLive the time for which the response may be used
   * @return the body
   */
  byte[] writeDirectoryResponse(List<String> addresses, Duration timeToLive);

  /**
   * Returns the maximum number of hosts that one response of the directory may name.
   *
   * @return a positive number
   */
  int maxDirectoryAddresses();
}
