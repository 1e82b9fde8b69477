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

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class NettyPeerLinkTest {

  private static final String SECRET = "a shared test secret";
  private static final PeerAddress ANY = new PeerAddress("127.0.0.1", 0);
  private static final Duration LONG = Duration.ofSeconds(20);
  private static final Duration SHORT = Duration.ofMillis(100);

  private final List<NettyPeerLink> links = new ArrayList<>();
  private final BlockingQueue<CompletableFuture<byte[]>> held = new LinkedBlockingQueue<>();
  private NettyPeerLink callee;
  private NettyPeerLink caller;

  @BeforeEach
  void open() throws IOException {
    callee = link(LinkOptions.of(ANY, SECRET), "inc-callee");
    caller = link(LinkOptions.of(ANY, SECRET), "inc-caller");
    callee.handle(
        MessageKind.PULSE,
        (sender, body) ->
            CompletableFuture.completedFuture(
                (sender + ":" + text(body)).getBytes(StandardCharsets.UTF_8)));
    callee.handle(
        MessageKind.FETCH_OBJECT,
        (sender, body) -> {
          CompletableFuture<byte[]> answer = new CompletableFuture<>();
          held.add(answer);
          return answer;
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

  private String pulse(String text) {
    return text(send(callee.localAddress(), MessageKind.PULSE, text, LONG).join().get());
  }

  private PeerError failure(PeerAddress to, MessageKind kind, Duration timeout) {
    return send(to, kind, "x", timeout).join().error();
  }

  private long handshakesIn() {
    Object traffic = Objects.requireNonNull(callee.view().traffic().get("HANDSHAKE"));
    return ((LinkMetrics.Traffic) traffic).messagesIn();
  }

  /** Guards against calls that open a connection each, and against an unproven sender id. */
  @Test
  void reusesOneConnection() {
    assertEquals("inc-caller:1", pulse("1"));
    assertEquals("inc-caller:2", pulse("2"));
    assertEquals(2, handshakesIn());
    assertEquals(1, callee.view().incoming());
  }

  /** Guards against answers that reach the wrong call when they come in another order. */
  @Test
  void correlatesCrossedAnswers() throws Exception {
    PeerAddress to = callee.localAddress();
    CompletableFuture<Result<byte[], PeerError>> first =
        send(to, MessageKind.FETCH_OBJECT, "1", LONG);
    final CompletableFuture<byte[]> firstHeld = held.poll(20, TimeUnit.SECONDS);
    CompletableFuture<Result<byte[], PeerError>> second =
        send(to, MessageKind.FETCH_OBJECT, "2", LONG);
    held.poll(20, TimeUnit.SECONDS).complete(new byte[] {2});
    assertEquals(2, second.join().get()[0]);
    assertFalse(first.isDone());
    firstHeld.complete(new byte[] {1});
    assertEquals(1, first.join().get()[0]);
  }

  /** Guards against a host without the secret that is served or learns a value from the secret. */
  @Test
  void refusesStranger() throws Exception {
    assertEquals("inc-caller:1", pulse("1"));
    try (RawPeer stranger = new RawPeer(callee.localAddress(), "another test secret")) {
      assertFalse(stranger.authenticate());
    }
    NettyPeerLink other = link(LinkOptions.of(ANY, "another test secret"), "inc-other");
    Result<byte[], PeerError> result =
        other.call(callee.localAddress(), MessageKind.PULSE, new byte[0], LONG).join();
    assertInstanceOf(PeerError.NotSent.class, result.error());
    assertEquals("inc-caller:2", pulse("2"));
  }

  private void breakRule(Consumer<RawPeer> fault) throws Exception {
    assertEquals("inc-caller:1", pulse("1"));
    final long before = handshakesIn();
    try (RawPeer raw = new RawPeer(callee.localAddress(), SECRET)) {
      assertTrue(raw.authenticate());
      fault.accept(raw);
      assertTrue(raw.read().isEmpty(), "the connection stayed open");
    }
    assertEquals("inc-caller:2", pulse("2"));
    assertEquals(before + 2, handshakesIn(), "another connection was replaced");
  }

  private static void write(RawPeer raw, byte[] frame) {
    assertTrue(
        assertDoesNotThrow(
            () -> {
              raw.write(frame);
              return true;
            }));
  }

  /** Guards against a flipped bit that goes unnoticed, at any place of the frame. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 9, 20, 40, 46})
  void garbledFrameClosesOnlyItsConnection(int offset) throws Exception {
    breakRule(
        raw -> {
          byte[] frame = raw.seal().seal(RawPeer.request(1));
          frame[offset] ^= 4;
          write(raw, frame);
        });
  }

  /** Guards against a recorded frame that is handled a second time. */
  @Test
  void replayedFrameClosesOnlyItsConnection() throws Exception {
    breakRule(
        raw -> {
          byte[] frame = raw.seal().seal(RawPeer.request(1));
          write(raw, frame);
          assertTrue(assertDoesNotThrow(raw::read).isPresent(), "the first frame was not answered");
          write(raw, frame);
        });
  }

  /** Guards against a length prefix that makes the receiver buffer without bound. */
  @ParameterizedTest
  @ValueSource(ints = {1 << 20, Integer.MAX_VALUE, -1})
  void oversizedFrameClosesOnlyItsConnection(int length) throws Exception {
    breakRule(raw -> assertDoesNotThrow(() -> raw.writeLength(length)));
  }

  /** Guards against a connection that swallows bytes for good while new ones work. */
  @Test
  void replacesSilentConnection() throws Exception {
    try (SwallowingRelay relay = new SwallowingRelay(callee.localAddress())) {
      assertTrue(send(relay.address(), MessageKind.PULSE, "1", LONG).join().isOk());
      relay.swallowOpenConnections();
      PeerError first = failure(relay.address(), MessageKind.PULSE, SHORT);
      PeerError second = failure(relay.address(), MessageKind.PULSE, SHORT);
      assertInstanceOf(PeerError.NoResponse.class, first);
      assertInstanceOf(PeerError.NoResponse.class, second);
      assertTrue(send(relay.address(), MessageKind.PULSE, "2", LONG).join().isOk());
      assertEquals(2, relay.connections());
      assertEquals(1, caller.view().silentConnectionsClosed());
    }
  }

  /** Guards against a slow handler that costs a working connection. */
  @Test
  void keepsConnectionThatAnswersOtherCalls() {
    for (int i = 0; i < 4; i++) {
      CompletableFuture<Result<byte[], PeerError>> slow =
          send(callee.localAddress(), MessageKind.FETCH_OBJECT, "x", SHORT);
      assertEquals("inc-caller:1", pulse("1"));
      assertInstanceOf(PeerError.NoResponse.class, slow.join().error());
    }
    assertEquals(0, caller.view().silentConnectionsClosed());
  }

  /** Guards against calls that pile up without bound at a peer that does not answer. */
  @Test
  void boundsPendingCalls() throws Exception {
    caller = link(new LinkOptions(ANY, SECRET, 2, 1 << 20, Duration.ofSeconds(1)), "inc-small");
    PeerAddress to = callee.localAddress();
    final CompletableFuture<Result<byte[], PeerError>> first =
        send(to, MessageKind.FETCH_OBJECT, "1", LONG);
    var unused = send(to, MessageKind.FETCH_OBJECT, "2", LONG);
    PeerError third = failure(to, MessageKind.FETCH_OBJECT, LONG);
    assertInstanceOf(PeerError.NotSent.class, third);
    held.poll(20, TimeUnit.SECONDS).complete(new byte[] {1});
    held.poll(20, TimeUnit.SECONDS).complete(new byte[] {1});
    assertTrue(first.join().isOk());
    assertEquals("inc-small:4", pulse("4"));
  }

  /** Guards against a write buffer that grows without bound at a peer that does not read. */
  @Test
  void boundsWriteBuffer() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      PeerAddress to = new PeerAddress("127.0.0.1", server.getLocalPort());
      caller = link(new LinkOptions(ANY, SECRET, 64, 1 << 16, Duration.ofSeconds(1)), "inc-small");
      var unused = send(to, MessageKind.PULSE, "1", LONG);
      try (RawPeer deaf = RawPeer.accept(server, SECRET)) {
        List<CompletableFuture<Result<byte[], PeerError>>> answers = new ArrayList<>();
        for (int i = 0; i < 63; i++) {
          answers.add(caller.call(to, MessageKind.FETCH_OBJECT, new byte[1 << 19], LONG));
        }
        var first = CompletableFuture.anyOf(answers.toArray(CompletableFuture[]::new)).join();
        PeerError full = new PeerError.NotSent("write buffer to " + to + " is full");
        assertEquals(Result.err(full), first);
        assertTrue(deaf.read().isPresent(), "nothing was sent");
      }
    }
  }

  /** Guards against a request that the wire cannot carry and that closes the connection. */
  @Test
  void refusesOversizedRequestBeforeSending() {
    CompletableFuture<Result<byte[], PeerError>> answer =
        caller.call(callee.localAddress(), MessageKind.PULSE, new byte[1 << 20], LONG);
    assertInstanceOf(PeerError.NotSent.class, answer.join().error());
  }

  /** Guards against a failure of the callee that looks like a lost answer, or the reverse. */
  @Test
  void classifiesFailures() throws Exception {
    callee.handle(
        MessageKind.CLAIM_TICKET,
        (sender, body) -> {
          throw new IllegalStateException("no such ticket");
        });
    PeerError refused = failure(callee.localAddress(), MessageKind.CLAIM_TICKET, LONG);
    assertEquals(new PeerError.Refused("no such ticket"), refused);
    assertInstanceOf(
        PeerError.Refused.class, failure(callee.localAddress(), MessageKind.SETTLE_TICKET, LONG));
    assertInstanceOf(
        PeerError.NoResponse.class,
        failure(callee.localAddress(), MessageKind.FETCH_OBJECT, SHORT));
    callee.close();
    PeerError closed = failure(callee.localAddress(), MessageKind.PULSE, LONG);
    assertInstanceOf(PeerError.NotSent.class, closed);
  }

  /** Guards against a restarted peer that is never reached again. */
  @Test
  void reconnectsAfterRestart() throws Exception {
    PeerAddress address = callee.localAddress();
    assertEquals("inc-caller:1", pulse("1"));
    callee.close();
    failure(address, MessageKind.PULSE, LONG);
    callee = link(LinkOptions.of(address, SECRET), "inc-second");
    callee.handle(MessageKind.PULSE, (sender, body) -> CompletableFuture.completedFuture(body));
    assertEquals("2", pulse("2"));
  }

  /** Guards against calls that still carry the id of a fenced incarnation. */
  @Test
  void provesNewIncarnation() {
    assertEquals("inc-caller:1", pulse("1"));
    caller.setIncarnation("inc-new");
    assertEquals("inc-new:2", pulse("2"));
  }

  /** Guards against a second process that starts on the same port without a clear error. */
  @Test
  void reportsTakenPort() {
    IOException e =
        assertThrows(
            IOException.class,
            () -> link(LinkOptions.of(callee.localAddress(), SECRET), "inc-second"));
    assertTrue(e.toString().contains(String.valueOf(callee.localAddress().port())));
  }
}
