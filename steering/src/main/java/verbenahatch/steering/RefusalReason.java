package verbenahatch.steering;

import org.eclipse.jetty.http.HttpStatus;

/**
 * Names the answers that a host gives in place of a target; docs/refusals-platform.md lists them.
 */
enum RefusalReason {
  /** The host has not read all objects of the store yet. */
  NO_DOCUMENT(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The host is about to end. */
  STOPPING(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** No route matches. */
  NO_ROUTE(HttpStatus.NOT_FOUND_404),
  /** The key is missing or unknown. */
  BAD_KEY(HttpStatus.UNAUTHORIZED_401),
  /** The request is malformed. */
  BAD_REQUEST(HttpStatus.BAD_REQUEST_400),
  /** The body is longer than the document allows. */
  BODY_TOO_LONG(HttpStatus.PAYLOAD_TOO_LARGE_413),
  /** The body did not arrive. */
  BODY_INCOMPLETE(HttpStatus.BAD_REQUEST_400),
  /** Bodies of other requests use the memory. */
  NO_MEMORY(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The workspace is over its rate. */
  OVER_QUOTA(HttpStatus.TOO_MANY_REQUESTS_429),
  /** No target could answer in time. */
  NO_CAPACITY(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** Targets rejected the request. */
  REJECTED(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The time ran out before the request was sent. */
  EXPIRED(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The time ran out while a target was at work. */
  TIMED_OUT(HttpStatus.GATEWAY_TIMEOUT_504),
  /** The target broke off or sent something else than an answer. */
  TARGET_FAILED(HttpStatus.BAD_GATEWAY_502),
  /** A fault of this program. */
  INTERNAL(HttpStatus.INTERNAL_SERVER_ERROR_500);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }

  /** Tells whether the caller may come back, because the request did not run and never will. */
  boolean promisesNotRun() {
    return status == HttpStatus.SERVICE_UNAVAILABLE_503
        || status == HttpStatus.TOO_MANY_REQUESTS_429;
  }
}
