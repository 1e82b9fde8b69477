package verbenahatch.peer.testing;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.PeerHandler;
import verbenahatch.peer.PeerLink;

/** In-memory link of one address in a {@link FakePeerNetwork}. */
public final class FakePeerLink implements PeerLink {

  /**
   * Bytes that the real link adds to a body: length prefix, envelope fields and HMAC, rounded up.
   */
  private static final int FRAME_OVERHEAD_BYTES = 56;

  private final FakePeerNetwork network;
  private final PeerAddress address;
  private final Map<MessageKind, PeerHandler> handlers = new ConcurrentHashMap<>();

  /** In order of sending, so that closing completes requests in the same order in every run. */
  private final Set<CompletableFuture<Result<byte[], PeerError>>> pending = new LinkedHashSet<>();

  private final AtomicLong messagesSent = new AtomicLong();
  private final AtomicLong bytesSent = new AtomicLong();
  private volatile String incarnation;
  private volatile boolean closed;

  FakePeerLink(FakePeerNetwork network, PeerAddress address, String incarnation) {
    this.network = network;
    this.address = address;
    this.incarnation = incarnation;
  }

  @Override
  public CompletableFuture<Result<byte[], PeerError>> call(
      PeerAddress to, MessageKind kind, byte[] body, Duration timeout) {
    if (closed || !network.isOpen(to)) {
      String reason = closed ? "link is closed" : "connection refused: " + to;
      return CompletableFuture.completedFuture(Result.err(new PeerError.NotSent(reason)));
    }
    CompletableFuture<Result<byte[], PeerError>> response = new CompletableFuture<>();
    synchronized (pending) {
      pending.add(response);
    }
    String sender = incarnation;
    byte[] bodyCopy = body.clone();
    countSent(body.length);
    network.send(address, to, () -> receive(sender, to, kind, bodyCopy, response));
    network.schedule(
        timeout,
        () ->
            network.runUnlessPaused(
                address,
                () ->
                    finish(
                        response,
                        Result.err(new PeerError.NoResponse("no response before the timeout")))));
    return response;
  }

  private void receive(
      String sender,
      PeerAddress to,
      MessageKind kind,
      byte[] body,
      CompletableFuture<Result<byte[], PeerError>> response) {
    FakePeerLink receiver = network.find(to);
    if (receiver == null) {
      return;
    }
    receiver
        .dispatch(sender, kind, body)
        .whenComplete(
            (value, failure) -> {
              Result<byte[], PeerError> result =
                  failure == null
                      ? Result.ok(value)
                      : Result.err(new PeerError.Refused(String.valueOf(failure.getMessage())));
              receiver.respond(address, this, response, result);
            });
  }

  private CompletableFuture<byte[]> dispatch(String sender, MessageKind kind, byte[] body) {
    PeerHandler handler = handlers.get(kind);
    if (handler == null) {
      return CompletableFuture.failedFuture(new IllegalStateException("no handler for " + kind));
    }
    try {
      return handler.handle(sender, body.clone());
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private void respond(
      PeerAddress to,
      FakePeerLink caller,
      CompletableFuture<Result<byte[], PeerError>> response,
      Result<byte[], PeerError> result) {
    if (closed) {
      return;
    }
    countSent(result.isOk() ? result.get().length : 0);
    network.send(address, to, () -> caller.finish(response, result));
  }

  private void finish(
      CompletableFuture<Result<byte[], PeerError>> response, Result<byte[], PeerError> result) {
    synchronized (pending) {
      pending.remove(response);
    }
    response.complete(result);
  }

  private void countSent(int bodyBytes) {
    messagesSent.incrementAndGet();
    bytesSent.addAndGet(bodyBytes + FRAME_OVERHEAD_BYTES);
  }

  @Override
  public void handle(MessageKind kind, PeerHandler handler) {
    handlers.put(kind, handler);
  }

  @Override
  public PeerAddress localAddress() {
    return address;
  }

  @Override
  public String incarnation() {
    return incarnation;
  }

  @Override
  public void setIncarnation(String incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Returns how many requests and responses this link sent.
   *
   * @return the number of messages, lost ones included
   */
  public long messagesSent() {
    return messagesSent.get();
  }

  /**
   * Returns how many bytes this link sent, including an estimate for the framing.
   *
   * @return the number of bytes, those of lost messages included
   */
  public long bytesSent() {
    return bytesSent.get();
  }

  /** Closes the link; pending requests complete with {@link PeerError.NoResponse}. */
  @Override
  public void close() {
    closed = true;
    network.remove(this);
    List<CompletableFuture<Result<byte[], PeerError>>> stillPending;
    synchronized (pending) {
      stillPending = List.copyOf(pending);
      pending.clear();
    }
    stillPending.forEach(
        response -> response.complete(Result.err(new PeerError.NoResponse("link is closed"))));
  }
}
