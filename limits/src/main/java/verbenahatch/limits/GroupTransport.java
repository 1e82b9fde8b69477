package verbenahatch.limits;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.peer.generated.ShareGrant;

/**
 * Sends the exchanges of one group to its coordinator and discovers a changed coordinator.
 * Thread-safe.
 */
final class GroupTransport {

  /**
   * Timeout of an exchange, after which it is sent again; a round trip between regions takes 70 ms.
   */
  static final long TIMEOUT_NANOS = 300_000_000L;

  /** Shortest time between two requests for the current coordinator. */
  private static final long DISCOVERY_PERIOD_NANOS = 200_000_000L;

  private final int groupIndex;
  private final LimitsContext context;
  private final HostLease lease;
  private final LimitGroup group;
  private final Runnable onGrant;
  private long lastDiscoveryAt;

  GroupTransport(
      int groupIndex, LimitsContext context, HostLease lease, LimitGroup group, Runnable onGrant) {
    this.groupIndex = groupIndex;
    this.context = context;
    this.lease = lease;
    this.group = group;
    this.onGrant = onGrant;
    this.lastDiscoveryAt = context.clock().nanoTime() - DISCOVERY_PERIOD_NANOS;
  }

  /**
   * Sends the exchange that is due, if any, or requests the current coordinator if none is known or
   * the epoch is closed.
   */
  void send() {
    if (!lease.isUsable()) {
      return;
    }
    Member target = context.members().live().get(group.holderLedger().coordinator());
    if (target == null) {
      discoverCoordinator();
      return;
    }
    ShareExchange exchange = group.holderLedger().nextExchange();
    if (exchange != null) {
      call(target, exchange);
    } else if (group.holderLedger().isEpochClosed()) {
      discoverCoordinator();
    }
  }

  private void discoverCoordinator() {
    synchronized (this) {
      long now = context.clock().nanoTime();
      if (now - lastDiscoveryAt < DISCOVERY_PERIOD_NANOS) {
        return;
      }
      lastDiscoveryAt = now;
    }
    Member target = context.members().live().get(group.knownCoordinator());
    if (target == null || target.incarnation().equals(lease.incarnation())) {
      target = context.members().candidate(groupIndex);
    }
    if (target != null && !target.incarnation().equals(lease.incarnation())) {
      long closedEpoch =
          group.holderLedger().isEpochClosed() ? group.holderLedger().closedEpoch() : 0;
      call(target, ShareExchange.newBuilder().setGroup(groupIndex).setEpoch(closedEpoch).build());
    }
  }

  private void call(Member target, ShareExchange exchange) {
    if (target.incarnation().equals(lease.incarnation())) {
      onResponse(exchange, group.exchange(lease.incarnation(), exchange));
      return;
    }
    context
        .link()
        .call(
            target.peer(),
            MessageKind.EXCHANGE_SHARES,
            exchange.toByteArray(),
            Duration.ofNanos(TIMEOUT_NANOS))
        .thenAccept(result -> onResponse(exchange, read(result)));
  }

  private static @Nullable ShareGrant read(Result<byte[], PeerError> result) {
    return result.isOk() ? Messages.read(ShareGrant.parser(), result.get()) : null;
  }

  private void onResponse(ShareExchange exchange, @Nullable ShareGrant grant) {
    if (grant == null) {
      group.holderLedger().exchangeFailed(exchange);
      return;
    }
    switch (grant.getOutcome()) {
      case GRANTED -> {
        if (group.holderLedger().applyGrant(grant)) {
          onGrant.run();
        } else {
          group.holderLedger().exchangeFailed(exchange);
        }
      }
      case NOT_HOME -> {
        group.holderLedger().exchangeFailed(exchange);
        group.adopt(grant.getEpoch(), grant.getHome());
      }
      default -> group.holderLedger().exchangeFailed(exchange);
    }
  }
}
