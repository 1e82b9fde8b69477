package verbenahatch.limits;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.peer.generated.ShareGrant;

/** Sends the exchanges of one group to its home and follows the home when it changes. */
final class GroupTransport {

  /** Time after which an exchange is sent again; a round trip between regions takes 70 ms. */
  static final long TIMEOUT_NANOS = 300_000_000L;

  /** Time between two questions for the home. */
  private static final long INQUIRY_PERIOD_NANOS = 200_000_000L;

  private final int group;
  private final LimitsContext context;
  private final HostLease lease;
  private final GroupHome home;
  private final Runnable onGrant;
  private long inquiredAt;

  GroupTransport(
      int group, LimitsContext context, HostLease lease, GroupHome home, Runnable onGrant) {
    this.group = group;
    this.context = context;
    this.lease = lease;
    this.home = home;
    this.onGrant = onGrant;
    this.inquiredAt = context.clock().nanoTime() - INQUIRY_PERIOD_NANOS;
  }

  /** Sends the exchange that is due, if any, or asks for the home. */
  void send() {
    if (!lease.isUsable()) {
      return;
    }
    Member target = context.members().live().get(home.holder().home());
    if (target == null) {
      inquire();
      return;
    }
    ShareExchange exchange = home.holder().next();
    if (exchange != null) {
      call(target, exchange);
    } else if (home.holder().isStopped()) {
      inquire();
    }
  }

  private void inquire() {
    synchronized (this) {
      long now = context.clock().nanoTime();
      if (now - inquiredAt < INQUIRY_PERIOD_NANOS) {
        return;
      }
      inquiredAt = now;
    }
    Member target = context.members().live().get(home.knownHome());
    if (target == null || target.incarnation().equals(lease.incarnation())) {
      target = context.members().candidate(group);
    }
    if (target != null && !target.incarnation().equals(lease.incarnation())) {
      long closed = home.holder().isStopped() ? home.holder().closedEpoch() : 0;
      call(target, ShareExchange.newBuilder().setGroup(group).setEpoch(closed).build());
    }
  }

  private void call(Member target, ShareExchange exchange) {
    if (target.incarnation().equals(lease.incarnation())) {
      answered(exchange, home.exchange(lease.incarnation(), exchange));
      return;
    }
    context
        .link()
        .call(
            target.peer(),
            MessageKind.EXCHANGE_SHARES,
            exchange.toByteArray(),
            Duration.ofNanos(TIMEOUT_NANOS))
        .thenAccept(result -> answered(exchange, read(result)));
  }

  private static @Nullable ShareGrant read(Result<byte[], PeerError> result) {
    return result.isOk() ? Messages.read(ShareGrant.parser(), result.get()) : null;
  }

  private void answered(ShareExchange exchange, @Nullable ShareGrant grant) {
    if (grant == null) {
      home.holder().failed(exchange);
      return;
    }
    switch (grant.getOutcome()) {
      case GRANTED -> {
        if (home.holder().granted(grant)) {
          onGrant.run();
        } else {
          home.holder().failed(exchange);
        }
      }
      case NOT_HOME -> {
        home.holder().failed(exchange);
        home.adopt(grant.getEpoch(), grant.getHome());
      }
      default -> home.holder().failed(exchange);
    }
  }
}
