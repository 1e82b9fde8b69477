package verbenahatch.peer;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;

/** Guards against lost, mixed up, unauthenticated or unbounded requests on a real connection. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class NettyPeerLinkTest {

  private static final String SECRET = "a shared test secret";
  private static final PeerAddress ANY_PORT = new PeerAddress("127.0.0.1", 0);
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);

  private final List<NettyPeerLink> links = new ArrayList<>();
  private final BlockingQueue<CompletableFuture<byte[]>> heldResponses =
      new LinkedBlockingQueue<>();
  private NettyPeerLink callee;
  private NettyPeerLink caller;

  @BeforeEach
  void openLinks() throws IOException {
    callee = link(LinkOptions.of(ANY_PORT, SECRET), "inc-callee");
    caller = link(LinkOptions.of(ANY_PORT, SECRET), "inc-caller");
    callee.handle(
        MessageKind.PULSE,
        (sender, body) ->
            CompletableFuture.completedFuture(
                (sender + ":" + text(body)).getBytes(StandardCharsets.UTF_8)));
    callee.handle(
        MessageKind.FETCH_OBJECT,
        (sender, body) -> {
          CompletableFuture<byte[]> response = new CompletableFuture<>();
          heldResponses.add(response);
          return response;
        });
  }

  @AfterEach
  void close() {
    links.forEach(NettyPeerLink::close);
  }

  private NettyPeerLink link(LinkOptions options, String incarnation) throws IOException {
    NettyPeerLink link =
        NettyPeerLink.listen(
            options, incarnation, Clock.system(), Events.none(), new PrometheusRegistry());
    links.add(link);
    return link;
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  private CompletableFuture<Result<byte[], PeerError>> send(
      PeerAddress to, MessageKind kind, String text, Duration timeout) {
    return caller.call(to, kind, text.getBytes(StandardCharsets.UTF_8), timeout);
  }

  private String heartbeat(String text) {
    return text(send(callee.localAddress(), MessageKind.PULSE, text, LONG_TIMEOUT).join().get());
  }

  private PeerError failure(PeerAddress to, MessageKind kind, Duration timeout) {
    return send(to, kind, "x", timeout).join().error();
  }

  private long handshakesIn() {
    Object traffic = Objects.requireNonNull(callee.view().traffic().get("HANDSHAKE"));
    return ((LinkMetrics.Traffic) traffic).messagesIn();
  }

  /** Guards against one connection per request and against an unauthenticated sender id. */
  @Test
  void reusesOneConnection() {
    assertEquals("inc-caller:1", heartbeat("1"));
    assertEquals("inc-caller:2", heartbeat("2"));
    assertEquals(2, handshakesIn());
    assertEquals(1, callee.view().incoming());
  }

  /** Guards against responses matched to the wrong request when they arrive in another order. */
  @Test
  void correlatesReorderedResponses() throws Exception {
    PeerAddress to = callee.localAddress();
    CompletableFuture<Result<byte[], PeerError>> first =
        send(to, MessageKind.FETCH_OBJECT, "1", LONG_TIMEOUT);
    final CompletableFuture<byte[]> firstHeldResponse = heldResponses.poll(20, TimeUnit.SECONDS);
    CompletableFuture<Result<byte[], PeerError>> second =
        send(to, MessageKind.FETCH_OBJECT, "2", LONG_TIMEOUT);
    heldResponses.poll(20, TimeUnit.SECONDS).complete(new byte[] {2});
    assertEquals(2, second.join().get()[0]);
    assertFalse(first.isDone());
    firstHeldResponse.complete(new byte[] {1});
    assertEquals(1, first.join().get()[0]);
  }

  /** Guards against serving a host without the secret, or sending it a value computed with it. */
  @Test
  void refusesUnknownPeer() throws Exception {
    assertEquals("inc-caller:1", heartbeat("1"));
    try (RawPeer unknownPeer = new RawPeer(callee.localAddress(), "another test secret")) {
      assertFalse(unknownPeer.authenticate());
    }
    NettyPeerLink other = link(LinkOptions.of(ANY_PORT, "another test secret"), "inc-other");
    Result<byte[], PeerError> result =
        other.call(callee.localAddress(), MessageKind.PULSE, new byte[0], LONG_TIMEOUT).join();
    assertInstanceOf(PeerError.NotSent.class, result.error());
    assertEquals("inc-caller:2", heartbeat("2"));
  }

  private void assertClosesOnlyThisConnection(Consumer<RawPeer> violation) throws Exception {
    assertEquals("inc-caller:1", heartbeat("1"));
    final long handshakesBefore = handshakesIn();
    try (RawPeer raw = new RawPeer(callee.localAddress(), SECRET)) {
      assertTrue(raw.authenticate());
      violation.accept(raw);
      assertTrue(raw.read().isEmpty(), "the connection stayed open");
    }
    assertEquals("inc-caller:2", heartbeat("2"));
    assertEquals(handshakesBefore + 2, handshakesIn(), "another connection was replaced");
  }

  private static void write(RawPeer raw, byte[] frame) {
    assertTrue(
        assertDoesNotThrow(
            () -> {
              raw.write(frame);
              return true;
            }));
  }

  /** Guards against an undetected flipped bit at any position of the frame. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 9, 20, 40, 46})
  void garbledFrameClosesOnlyItsConnection(int offset) throws Exception {
    assertClosesOnlyThisConnection(
        raw -> {
          byte[] frame = raw.seal().seal(RawPeer.request(1));
          frame[offset] ^= 4;
          write(raw, frame);
        });
  }

  /** Guards against handling a replayed frame a second time. */
  @Test
  void replayedFrameClosesOnlyItsConnection() throws Exception {
    assertClosesOnlyThisConnection(
        raw -> {
          byte[] frame = raw.seal().seal(RawPeer.request(1));
          write(raw, frame);
          assertTrue(assertDoesNotThrow(raw::read).isPresent(), "no response to the first frame");
          write(raw, frame);
        });
  }

  /** Guards against a length prefix that makes the receiver buffer without bound. */
  @ParameterizedTest
  @ValueSource(ints = {1 << 20, Integer.MAX_VALUE, -1})
  void oversizedFrameClosesOnlyItsConnection(int length) throws Exception {
    assertClosesOnlyThisConnection(raw -> assertDoesNotThrow(() -> raw.writeLength(length)));
  }

  /**
   * Guards against requests that keep using a connection which drops all bytes while new ones work.
   */
  @Test
  void replacesSilentConnection() throws Exception {
    try (DroppingProxy proxy = new DroppingProxy(callee.localAddress())) {
      assertTrue(send(proxy.address(), MessageKind.PULSE, "1", LONG_TIMEOUT).join().isOk());
      proxy.dropOnOpenConnections();
      PeerError first = failure(proxy.address(), MessageKind.PULSE, SHORT_TIMEOUT);
      PeerError second = failure(proxy.address(), MessageKind.PULSE, SHORT_TIMEOUT);
      assertInstanceOf(PeerError.NoResponse.class, first);
      assertInstanceOf(PeerError.NoResponse.class, second);
      assertTrue(send(proxy.address(), MessageKind.PULSE, "2", LONG_TIMEOUT).join().isOk());
      assertEquals(2, proxy.connections());
      assertEquals(1, caller.view().silentConnectionsClosed());
    }
  }

  /** Guards against closing a working connection because one handler is slow. */
  @Test
  void keepsConnectionThatAnswersOtherCalls() {
    for (int i = 0; i < 4; i++) {
      CompletableFuture<Result<byte[], PeerError>> slow =
          send(callee.localAddress(), MessageKind.FETCH_OBJECT, "x", SHORT_TIMEOUT);
      assertEquals("inc-caller:1", heartbeat("1"));
      assertInstanceOf(PeerError.NoResponse.class, slow.join().error());
    }
    assertEquals(0, caller.view().silentConnectionsClosed());
  }

  /** Guards against an unbounded number of pending requests to a peer that does not respond. */
  @Test
  void boundsPendingRequests() throws Exception {
    caller =
        link(new LinkOptions(ANY_PORT, SECRET, 2, 1 << 20, Duration.ofSeconds(1)), "inc-small");
    PeerAddress to = callee.localAddress();
    final CompletableFuture<Result<byte[], PeerError>> first =
        send(to, MessageKind.FETCH_OBJECT, "1", LONG_TIMEOUT);
    var unused = send(to, MessageKind.FETCH_OBJECT, "2", LONG_TIMEOUT);
    PeerError third = failure(to, MessageKind.FETCH_OBJECT, LONG_TIMEOUT);
    assertInstanceOf(PeerError.NotSent.class, third);
    heldResponses.poll(20, TimeUnit.SECONDS).complete(new byte[] {1});
    heldResponses.poll(20, TimeUnit.SECONDS).complete(new byte[] {1});
    assertTrue(first.join().isOk());
    assertEquals("inc-small:4", heartbeat("4"));
  }

  /** Guards against a write buffer that grows without bound for a peer that does not read. */
  @Test
  void boundsWriteBuffer() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      PeerAddress to = new PeerAddress("127.0.0.1", server.getLocalPort());
      caller =
          link(new LinkOptions(ANY_PORT, SECRET, 64, 1 << 16, Duration.ofSeconds(1)), "inc-small");
      var unused = send(to, MessageKind.PULSE, "1", LONG_TIMEOUT);
      try (RawPeer nonReading = RawPeer.accept(server, SECRET)) {
        List<CompletableFuture<Result<byte[], PeerError>>> responses = new ArrayList<>();
        for (int i = 0; i < 63; i++) {
          responses.add(caller.call(to, MessageKind.FETCH_OBJECT, new byte[1 << 19], LONG_TIMEOUT));
        }
        var first = CompletableFuture.anyOf(responses.toArray(CompletableFuture[]::new)).join();
        PeerError full = new PeerError.NotSent("write buffer to " + to + " is full");
        assertEquals(Result.err(full), first);
        assertTrue(nonReading.read().isPresent(), "nothing was sent");
      }
    }
  }

  /** Guards against sending a request above the frame limit, which would close the connection. */
  @Test
  void refusesOversizedRequestBeforeSending() {
    CompletableFuture<Result<byte[], PeerError>> response =
        caller.call(callee.localAddress(), MessageKind.PULSE, new byte[1 << 20], LONG_TIMEOUT);
    assertInstanceOf(PeerError.NotSent.class, response.join().error());
  }

  /** Guards against reporting a failure of the callee as a lost response, or the reverse. */
  @Test
  void classifiesFailures() throws Exception {
    callee.handle(
        MessageKind.CLAIM_TICKET,
        (sender, body) -> {
          throw new IllegalStateException("no such ticket");
        });
    PeerError refused = failure(callee.localAddress(), MessageKind.CLAIM_TICKET, LONG_TIMEOUT);
    assertEquals(new PeerError.Refused("no such ticket"), refused);
    assertInstanceOf(
        PeerError.Refused.class,
        failure(callee.localAddress(), MessageKind.SETTLE_TICKET, LONG_TIMEOUT));
    assertInstanceOf(
        PeerError.NoResponse.class,
        failure(callee.localAddress(), MessageKind.FETCH_OBJECT, SHORT_TIMEOUT));
    callee.close();
    PeerError closed = failure(callee.localAddress(), MessageKind.PULSE, LONG_TIMEOUT);
    assertInstanceOf(PeerError.NotSent.class, closed);
  }

  /** Guards against a peer that stays unreachable after its restart. */
  @Test
  void reconnectsAfterRestart() throws Exception {
    PeerAddress address = callee.localAddress();
    assertEquals("inc-caller:1", heartbeat("1"));
    callee.close();
    failure(address, MessageKind.PULSE, LONG_TIMEOUT);
    callee = link(LinkOptions.of(address, SECRET), "inc-second");
    callee.handle(MessageKind.PULSE, (sender, body) -> CompletableFuture.completedFuture(body));
    assertEquals("2", heartbeat("2"));
  }

  /** Guards against requests that still carry the id of a fenced incarnation. */
  @Test
  void provesNewIncarnation() {
    assertEquals("inc-caller:1", heartbeat("1"));
    caller.setIncarnation("inc-new");
    assertEquals("inc-new:2", heartbeat("2"));
  }

  /** Guards against a second process that starts on the same port without a clear error. */
  @Test
  void reportsPortInUse() {
    IOException e =
        assertThrows(
            IOException.class,
            () -> link(LinkOptions.of(callee.localAddress(), SECRET), "inc-second"));
    assertTrue(e.toString().contains(String.valueOf(callee.localAddress().port())));
  }
}
