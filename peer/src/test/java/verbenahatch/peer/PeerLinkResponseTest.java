package verbenahatch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.protobuf.ByteString;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;
import verbenahatch.peer.generated.Envelope;
import verbenahatch.peer.generated.Sealed;

/** Guards against a request that gets a part of its response, or the response to another one. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerLinkResponseTest {

  private static final String SECRET = "a shared test secret";
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private ServerSocket server;
  private NettyPeerLink caller;

  @BeforeEach
  void open() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    caller =
        NettyPeerLink.listen(
            LinkOptions.of(new PeerAddress("127.0.0.1", 0), SECRET),
            "inc-caller",
            Clock.system(),
            Events.none(),
            new PrometheusRegistry());
  }

  @AfterEach
  void close() throws IOException {
    caller.close();
    server.close();
  }

  private CompletableFuture<Result<byte[], PeerError>> call() {
    return caller.call(
        new PeerAddress("127.0.0.1", server.getLocalPort()),
        MessageKind.PULSE,
        new byte[] {1},
        TIMEOUT);
  }

  private static long readCorrelationId(RawPeer raw) throws Exception {
    Sealed sealed = Sealed.parseFrom(raw.read().orElseThrow());
    return Envelope.parseFrom(sealed.getEnvelope()).getCorrelationId();
  }

  private static Envelope.Builder response(long id, String body) {
    return RawPeer.request(id).setAnswer(true).setBody(ByteString.copyFromUtf8(body));
  }

  private static String text(Result<byte[], PeerError> result) {
    return new String(result.get(), StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 20, 40})
  void partOfResponseIsNoResponse(int bytes) throws Exception {
    CompletableFuture<Result<byte[], PeerError>> call = call();
    try (RawPeer raw = RawPeer.accept(server, SECRET)) {
      byte[] frame = raw.seal().seal(response(readCorrelationId(raw), "x".repeat(100)));
      raw.writeLength(frame.length);
      raw.writePart(Arrays.copyOf(frame, bytes));
    }
    assertInstanceOf(PeerError.NoResponse.class, call.get().error());
  }

  @Test
  void partThatIsFramedAsWholeIsNoResponse() throws Exception {
    CompletableFuture<Result<byte[], PeerError>> call = call();
    try (RawPeer raw = RawPeer.accept(server, SECRET)) {
      byte[] frame = raw.seal().seal(response(readCorrelationId(raw), "x".repeat(100)));
      raw.write(Arrays.copyOf(frame, frame.length - 10));
      assertInstanceOf(PeerError.NoResponse.class, call.get().error());
    }
  }

  /** The refusal bears the correlation id of the first request, which is used only once. */
  @Test
  void copyOfRefusalIsNotTheResponseToTheNextRequest() throws Exception {
    CompletableFuture<Result<byte[], PeerError>> first = call();
    try (RawPeer raw = RawPeer.accept(server, SECRET)) {
      FrameSeal seal = raw.seal();
      long id = readCorrelationId(raw);
      raw.write(seal.seal(response(id, "").setRefusal("busy")));
      assertInstanceOf(PeerError.Refused.class, first.get().error());
      CompletableFuture<Result<byte[], PeerError>> second = call();
      long secondId = readCorrelationId(raw);
      raw.write(seal.seal(response(id, "").setRefusal("busy")));
      raw.write(seal.seal(response(secondId, "own")));
      assertEquals("own", text(second.get()));
    }
  }

  @Test
  void frameSentTwiceIsNotTheResponseToTheNextRequest() throws Exception {
    CompletableFuture<Result<byte[], PeerError>> first = call();
    try (RawPeer raw = RawPeer.accept(server, SECRET)) {
      byte[] frame = raw.seal().seal(response(readCorrelationId(raw), "first"));
      raw.write(frame);
      assertEquals("first", text(first.get()));
      CompletableFuture<Result<byte[], PeerError>> second = call();
      readCorrelationId(raw);
      raw.write(frame);
      assertInstanceOf(PeerError.NoResponse.class, second.get().error());
    }
  }
}
