package verbenahatch.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.PeerHandler;
import verbenahatch.peer.PeerLink;

/** In-memory links between the hosts of a test; hosts can be killed and responses dropped. */
final class FakePeers {

  private final Map<PeerAddress, Map<MessageKind, PeerHandler>> hosts = new ConcurrentHashMap<>();
  final Set<PeerAddress> killed = ConcurrentHashMap.newKeySet();

  /** Number of the next responses that are dropped after the request was handled. */
  final java.util.concurrent.atomic.AtomicInteger responsesToLose =
      new java.util.concurrent.atomic.AtomicInteger();

  PeerLink join(Member member) {
    Map<MessageKind, PeerHandler> handlers = new ConcurrentHashMap<>();
    hosts.put(member.peer(), handlers);
    return new Link(member.incarnation(), handlers);
  }

  private final class Link implements PeerLink {
    private final String incarnation;
    private final Map<MessageKind, PeerHandler> handlers;

    Link(String incarnation, Map<MessageKind, PeerHandler> handlers) {
      this.incarnation = incarnation;
      this.handlers = handlers;
    }

    @Override
    public CompletableFuture<Result<byte[], PeerError>> call(
        PeerAddress to, MessageKind kind, byte[] body, Duration timeout) {
      Map<MessageKind, PeerHandler> other = hosts.get(to);
      PeerHandler handler = other == null ? null : other.get(kind);
      if (handler == null || killed.contains(to)) {
        return CompletableFuture.completedFuture(Result.err(new PeerError.NotSent("no such host")));
      }
      CompletableFuture<byte[]> response = handler.handle(incarnation, body);
      if (responsesToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
        return CompletableFuture.completedFuture(Result.err(new PeerError.NoResponse("lost")));
      }
      return response.handle(
          (value, failure) ->
              failure == null
                  ? Result.ok(value)
                  : Result.err(new PeerError.Refused(failure.toString())));
    }

    @Override
    public void handle(MessageKind kind, PeerHandler handler) {
      handlers.put(kind, handler);
    }

    @Override
    public PeerAddress localAddress() {
      return new PeerAddress("127.0.0.1", 0);
    }

    @Override
    public String incarnation() {
      return incarnation;
    }

    @Override
    public void setIncarnation(String next) {}

    @Override
    public void close() {}
  }
}
