package verbenahatch.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/** Tells how a call to the administration API ended. */
sealed interface Reply {

  /**
   * A host answered.
   *
   * @param status the HTTP status
   * @param body the body; text that is not JSON appears as a JSON string
   */
  record Answered(int status, JsonNode body) implements Reply {}

  /**
   * No host answered.
   *
   * @param reason what happened
   * @param maybeSent whether a change may have taken effect all the same
   */
  record Unreachable(String reason, boolean maybeSent) implements Reply {}
}
