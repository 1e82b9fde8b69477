package verbenahatch.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Guards against a key in the output and against a refusal that scripts take for a success. */
class WhereCommandTest {

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "200; {\"host\":\"h1\"}; 0; text; host: h1",
        "200; {\"host\":\"h1\"}; 0; json; \"host\" : \"h1\"",
        "200; {\"refusal\":{\"reason\":\"BAD_KEY\"}}; 1; text; reason: BAD_KEY",
        "400; {\"x\":1}; 1; text; x: 1"
      })
  void sendsQueryAndMapsResult(
      int status, String response, int exitCode, String output, String text, @TempDir Path folder)
      throws Exception {
    final Path keyFile = Files.writeString(folder.resolve("key"), "secret-key\n");
    CompletableFuture<String> query = new CompletableFuture<>();
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 5);
    server.createContext(
        "/where",
        exchange -> {
          byte[] received = exchange.getRequestBody().readAllBytes();
          query.complete(new String(received, StandardCharsets.UTF_8));
          exchange.getResponseHeaders().add("Content-Type", "application/json");
          byte[] body = response.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(status, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    StringWriter out = new StringWriter();
    CommandLine line = CtlMain.commandLine(Map.of());
    line.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(out, true));
    String url = "http://127.0.0.1:" + server.getAddress().getPort();
    int result =
        line.execute(
            "where",
            "example.org",
            "/a",
            "--key-file",
            keyFile.toString(),
            "--object",
            "o",
            "--server",
            url,
            "--output",
            output);
    server.stop(0);
    assertEquals(exitCode, result, out.toString());
    assertTrue(out.toString().contains(text), out.toString());
    assertFalse(out.toString().contains("secret-key"), out.toString());
    String expected =
        "{\"host\":\"example.org\",\"path\":\"/a\",\"method\":\"GET\",\"bodyBytes\":0,"
            + "\"key\":\"secret-key\",\"object\":\"o\"}";
    assertEquals(expected, query.join());
  }
}
