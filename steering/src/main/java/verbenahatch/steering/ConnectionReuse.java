package verbenahatch.steering;

import org.eclipse.jetty.http.HttpStatus;
import verbenahatch.steering.model.WireProtocol.TargetResponse;

/**
 * Decides which responses of a target leave their connection usable for further requests.
 *
 * <p>The id in a response identifies the request, not the attempt. A target may send a second copy
 * of a refusal, and a refused request may be sent again with its id; on the same connection the
 * copy would count as the response to the later attempt. So a response after which a request may be
 * sent again as not run ends its connection. So does a response without an id, as its copy would
 * count as the response to any later request.
 *
 * <p>Load pattern: an overloaded target refuses in bursts, and each refusal then costs a new
 * connection, about 1 ms at the target. A pause that the target asks for, ejection and the retry
 * budget bound the number. A target of a faulty version may fail every request with another status;
 * such a response promises nothing, so its connection stays.
 */
final class ConnectionReuse {

  private ConnectionReuse() {}

  /**
   * Returns whether a connection may carry further requests after a complete response.
   *
   * @param status the HTTP status
   * @param answer the protocol fields of the response
   */
  static boolean isAllowedAfter(int status, TargetResponse answer) {
    // Callers take these statuses as the statement that the request did not run, also without the
    // target's own statement.
    return answer.requestId() != null
        && !answer.notRun()
        && status != HttpStatus.MISDIRECTED_REQUEST_421
        && !RefusalReason.guaranteesNotRun(status);
  }
}
