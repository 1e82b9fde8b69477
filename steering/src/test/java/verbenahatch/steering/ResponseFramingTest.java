package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResponseFramingTest {

  // Guards against a response whose end is that of its connection and that is counted as another.
  @ParameterizedTest
  @CsvSource({
    "GET, 200, Content-Length, 2, length",
    "GET, 200, Transfer-Encoding, chunked, chunked",
    "POST, 200, Connection, close, until-close",
    "HEAD, 200, Connection, close, length",
    "GET, 304, Connection, close, length",
    "DELETE, 204, Connection, close, length"
  })
  void framingFollowsFromHead(String method, int status, String field, String value, String label) {
    HttpFields fields = HttpFields.build().add(field, value);
    assertEquals(label, ResponseFraming.of(method, status, fields).label());
  }
}
