package verbenahatch.steering;

import org.eclipse.jetty.http.HttpStatus;

/**
 * Names the responses that a host gives instead of a target; docs/refusals-platform.md lists them.
 */
enum RefusalReason {
  /** The host has not read all objects of the store yet. */
  NO_DOCUMENT(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The host is shutting down. */
  STOPPING(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** No route matches. */
  NO_ROUTE(HttpStatus.NOT_FOUND_404),
  /** The key is missing or unknown. */
  BAD_KEY(HttpStatus.UNAUTHORIZED_401),
  /** The request is malformed. */
  BAD_REQUEST(HttpStatus.BAD_REQUEST_400),
  /** The body is longer than the document allows. */
  BODY_TOO_LONG(HttpStatus.PAYLOAD_TOO_LARGE_413),
  /** The body could not be read to its end. */
  BODY_INCOMPLETE(HttpStatus.BAD_REQUEST_400),
  /** Bodies of other requests use up the memory for bodies. */
  NO_MEMORY(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The workspace exceeds its request rate. */
  OVER_QUOTA(HttpStatus.TOO_MANY_REQUESTS_429),
  /** No target can respond in time. */
  NO_CAPACITY(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** Targets rejected the request. */
  REJECTED(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The deadline passed before the request was sent to a target. */
  EXPIRED(HttpStatus.SERVICE_UNAVAILABLE_503),
  /** The deadline passed while a target processed the request. */
  TIMED_OUT(HttpStatus.GATEWAY_TIMEOUT_504),
  /** The target failed, closed the connection early or sent an invalid response. */
  TARGET_FAILED(HttpStatus.BAD_GATEWAY_502),
  /** An internal error of this host. */
  INTERNAL(HttpStatus.INTERNAL_SERVER_ERROR_500);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }

  /** Returns whether the caller may retry, because the request did not run and never will. */
  boolean guaranteesNotRun() {
    return guaranteesNotRun(status);
  }

  /**
   * Returns whether callers take a status as the statement that the request did not run.
   *
   * @param status the status of a response, also one of a target
   */
  static boolean guaranteesNotRun(int status) {
    return status == HttpStatus.SERVICE_UNAVAILABLE_503
        || status == HttpStatus.TOO_MANY_REQUESTS_429
        || status == HttpStatus.REQUEST_TIMEOUT_408;
  }
}
