package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.steering.model.WireProtocol.TargetResponse;

/** Checks which responses end the connection that carried them. */
class ConnectionReuseTest {

  /** A copy of a refusal on a kept connection counted as the response to a later attempt. */
  @ParameterizedTest
  @CsvSource({
    "503, true, false",
    "429, true, false",
    "421, true, false",
    "400, true, false",
    "200, true, false",
    "503, false, false",
    "429, false, false",
    "421, false, false",
    "408, false, false",
    "200, false, true",
    "304, false, true",
    "400, false, true",
    "404, false, true",
    "500, false, true",
    "502, false, true",
    "504, false, true"
  })
  void responseThatPromisesNoRunEndsItsConnection(int status, boolean notRun, boolean allowed) {
    TargetResponse answer = new TargetResponse("r", true, notRun, null, false, 0);
    assertEquals(allowed, ConnectionReuse.isAllowedAfter(status, answer));
  }

  /** A copy of a response without an id counted as the response to a later request. */
  @ParameterizedTest
  @ValueSource(ints = {200, 304, 400, 404, 500, 502, 503, 504})
  void responseWithoutIdEndsItsConnection(int status) {
    TargetResponse answer = new TargetResponse(null, true, false, null, false, 0);
    assertFalse(ConnectionReuse.isAllowedAfter(status, answer));
  }
}
