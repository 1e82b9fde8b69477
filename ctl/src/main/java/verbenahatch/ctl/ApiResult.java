package verbenahatch.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/** The result of a request to the administration API. */
sealed interface ApiResult {

  /**
   * A host responded.
   *
   * @param status the HTTP status
   * @param body the response body; text that is not JSON is wrapped in a JSON string
   */
  record Responded(int status, JsonNode body) implements ApiResult {}

  /**
   * No host responded.
   *
   * @param reason the reason for each host that was tried
   * @param maybeSent whether a change may have taken effect nevertheless
   */
  record Unreachable(String reason, boolean maybeSent) implements ApiResult {}
}
