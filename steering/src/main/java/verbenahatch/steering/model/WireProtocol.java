package verbenahatch.steering.model;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/** Translates the header fields and directory messages of callers and targets. */
public interface WireProtocol {

  /**
   * Holds what steering needs of a caller's request.
   *
   * @param id the caller's id of this attempt, null if it sent none
   * @param waitMillis how long the caller will wait; negative if it does not say
   * @param objectKey names the object that the request concerns, null if it names none
   * @param key the caller's key, null if it sent none
   */
  record CallerRequest(
      @Nullable String id, long waitMillis, @Nullable String objectKey, @Nullable String key) {}

  /**
   * Holds what a target is told beside the caller's own fields.
   *
   * @param remainingMillis the time after which nobody waits for the answer
   * @param targetId the target that alone may run the request
   * @param workspace the workspace whose key came with the request, null on open routes
   */
  record TargetRequest(long remainingMillis, String targetId, @Nullable String workspace) {}

  /**
   * Holds what a target's answer says of itself.
   *
   * @param requestId the id that it answers, null if it has none
   * @param signed whether it bears the target's signature
   * @param notRun whether the target states that the request did not run
   * @param load the load of the target, null if it does not tell
   */
  record TargetResponse(
      @Nullable String requestId, boolean signed, boolean notRun, @Nullable TargetLoad load) {}

  /**
   * Holds the load that a target reports.
   *
   * @param running the requests that run
   * @param waiting the requests that wait for a slot
   * @param slots the requests that may run at the same time
   */
  record TargetLoad(int running, int waiting, int slots) {}

  /**
   * Holds a caller's question to the directory.
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
   * Writes the fields for a target: those of the caller that concern the message, without the key
   * and without fields that only a host sets, and those of the host.
   *
   * @param caller the caller's fields
   * @param request what the host adds
   * @param to the fields to write to
   */
  void writeRequest(HttpFields caller, TargetRequest request, HttpFields.Mutable to);

  /**
   * Decodes the fields of a target's answer.
   *
   * @param fields the header fields
   * @return the decoded answer
   */
  TargetResponse readResponse(HttpFields fields);

  /**
   * Copies the fields of a target's answer that concern the message.
   *
   * @param target the target's fields
   * @param to the fields to write to
   */
  void copyResponse(HttpFields target, HttpFields.Mutable to);

  /**
   * Tells whether a path asks the directory.
   *
   * @param path the path of a request
   * @return true for the directory's path
   */
  boolean isDirectoryPath(String path);

  /**
   * Decodes a question to the directory.
   *
   * @param query the query parameters
   * @return the decoded question
   */
  DirectoryQuery readDirectoryQuery(Fields query);

  /**
   * Encodes an answer of the directory.
   *
   * @param addresses the callers' addresses of hosts
   * @param timeToLive how long the answer may be used
   * @return the body
   */
  byte[] writeDirectoryResponse(List<String> addresses, Duration timeToLive);

  /**
   * Returns the most hosts that one answer of the directory may name.
   *
   * @return a positive number
   */
  int maxDirectoryAddresses();
}
