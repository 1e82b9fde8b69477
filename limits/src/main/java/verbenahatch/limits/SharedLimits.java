package verbenahatch.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Fleet;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerLink;
import verbenahatch.peer.generated.CloseReport;
import verbenahatch.peer.generated.CloseShares;
import verbenahatch.peer.generated.RecallHint;
import verbenahatch.peer.generated.RecallHintAnswer;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.store.ObjectStore;

/**
 * Admits work against this host's shares of the limits and exchanges shares with other hosts.
 *
 * <p>Thread-safe. {@link #tick()} must be called every {@link #TICK_MILLIS}.
 */
public final class SharedLimits implements Limits {

  /**
   * Time between two calls of {@link #tick()} in milliseconds; waiting requests are served then.
   */
  public static final long TICK_MILLIS = 10;

  private static final long CHUNK = LimitSpec.CHUNK_BYTES;

  private final LimitsContext context;
  private final HostLease lease;
  private final Map<String, HeldLimit> limits = new ConcurrentHashMap<>();
  private final List<Map<String, HeldLimit>> byGroup = new ArrayList<>();
  private final List<GroupHome> groups = new ArrayList<>();
  private final List<GroupTransport> transports = new ArrayList<>();
  private volatile List<Map<String, LimitSpec>> specs = groupsOf(Map.of());

  /**
   * Creates the limits of a host and sets the handlers of their messages.
   *
   * @param clock the clock
   * @param fleet what this host knows about the fleet
   * @param config the configuration in force
   * @param link the link to other hosts
   * @param store the platform's object API
   * @param storeCalls runs calls that block
   * @param events the log
   */
  public SharedLimits(
      Clock clock,
      Fleet fleet,
      ConfigView config,
      PeerLink link,
      ObjectStore store,
      Executor storeCalls,
      Events events) {
    this.lease = new HostLease(fleet);
    this.context =
        new LimitsContext(
            clock, fleet, new LiveMembers(fleet, clock), link, store, storeCalls, events);
    for (int group = 0; group < LimitSpec.GROUPS; group++) {
      addGroup(group);
    }
    config.onChange(this::adopt);
    config.document().ifPresent(this::adopt);
    link.handle(MessageKind.EXCHANGE_SHARES, this::onExchange);
    link.handle(MessageKind.CLOSE_SHARES, this::onClose);
    link.handle(MessageKind.RECALL_HINT, this::onHint);
  }

  private void addGroup(int group) {
    Map<String, HeldLimit> members = new ConcurrentHashMap<>();
    byGroup.add(members);
    HolderLedger holder =
        new HolderLedger(
            group, context.clock(), members::values, () -> context.members().live().size());
    GroupHome home = new GroupHome(group, context, lease, holder, () -> specs.get(group));
    groups.add(home);
    transports.add(
        new GroupTransport(
            group, context, lease, home, () -> members.values().forEach(HeldLimit::serveWaiters)));
  }

  private synchronized void adopt(EnvironmentDocument document) {
    Map<String, LimitSpec> changed = LimitSpec.of(document);
    for (LimitSpec spec : changed.values()) {
      HeldLimit held = limits.get(spec.name());
      if (held == null) {
        held = new HeldLimit(spec, context.clock(), lease);
        byGroup.get(LimitSpec.groupOf(spec.name())).put(spec.name(), held);
        limits.put(spec.name(), held);
      } else {
        held.spec(spec);
      }
    }
    specs = groupsOf(changed);
  }

  private static List<Map<String, LimitSpec>> groupsOf(Map<String, LimitSpec> all) {
    List<Map<String, LimitSpec>> grouped = new ArrayList<>();
    for (int group = 0; group < LimitSpec.GROUPS; group++) {
      grouped.add(new HashMap<>());
    }
    for (LimitSpec spec : all.values()) {
      grouped.get(LimitSpec.groupOf(spec.name())).put(spec.name(), spec);
    }
    return grouped;
  }

  /** Returns a limit in force, or null. */
  private @Nullable HeldLimit find(String name) {
    HeldLimit limit = limits.get(name);
    return limit == null || !specs.get(limit.group()).containsKey(name) ? null : limit;
  }

  @Override
  public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
    return take(LimitSpec.ofWorkspace(workspace), Share.TOKEN, deadlineNanos);
  }

  @Override
  public CompletableFuture<Admission> enterRegion(String region, long deadlineNanos) {
    return take(LimitSpec.ofRegion(region), Share.TOKEN, deadlineNanos);
  }

  @Override
  public void leaveRegion(String region) {
    HeldLimit limit = limits.get(LimitSpec.ofRegion(region));
    if (limit != null) {
      limit.bucket().putBack(Share.TOKEN);
      limit.serveWaiters();
    }
  }

  @Override
  public CompletableFuture<Admission> takeLinkBytes(
      String from, String to, long bytes, long deadlineNanos) {
    if (from.equals(to)) {
      return CompletableFuture.completedFuture(new Admission.Admitted());
    }
    String name = LimitSpec.ofLink(from, to);
    long left = bytes;
    while (true) {
      long now = Math.min(left, CHUNK);
      long rest = left - now;
      CompletableFuture<Admission> chunk = take(name, now * Share.TOKEN, deadlineNanos);
      if (rest <= 0) {
        return chunk;
      }
      if (!chunk.isDone()) {
        return chunk.thenCompose(
            admission ->
                admission instanceof Admission.Admitted
                    ? takeLinkBytes(from, to, rest, deadlineNanos)
                    : CompletableFuture.completedFuture(admission));
      }
      if (!(chunk.join() instanceof Admission.Admitted)) {
        return chunk;
      }
      left = rest;
    }
  }

  @Override
  public double linkHeadroom(String from, String to) {
    if (from.equals(to)) {
      return 1;
    }
    String name = LimitSpec.ofLink(from, to);
    HeldLimit limit = find(name);
    return limit == null ? 0 : limit.headroom();
  }

  private CompletableFuture<Admission> take(String name, long amount, long deadlineNanos) {
    HeldLimit limit = find(name);
    if (limit == null) {
      return CompletableFuture.completedFuture(new Admission.UnknownLimit(name));
    }
    if (!lease.isCurrent()) {
      dropShares();
    }
    CompletableFuture<Admission> admission = limit.admit(amount, deadlineNanos);
    if (!admission.isDone()) {
      transports.get(limit.group()).send();
    }
    return admission;
  }

  /** Drops the shares of an incarnation that was fenced. */
  private synchronized void dropShares() {
    String current = context.fleet().self().incarnation();
    if (current.equals(lease.incarnation())) {
      return;
    }
    groups.forEach(GroupHome::reset);
    lease.renew(current);
    context.events().log(LimitsEvent.SHARES_DROPPED, current);
  }

  /** Does the periodic work; calls may overlap. */
  public void tick() {
    if (!lease.isCurrent()) {
      dropShares();
    }
    for (int group = 0; group < groups.size(); group++) {
      groups.get(group).tick();
      transports.get(group).send();
    }
    limits.values().forEach(HeldLimit::serveWaiters);
  }

  private CompletableFuture<byte[]> onExchange(String sender, byte[] body) {
    ShareExchange exchange = Messages.read(ShareExchange.parser(), body);
    if (exchange == null || exchange.getGroup() >= groups.size()) {
      return refuse(sender, MessageKind.EXCHANGE_SHARES);
    }
    GroupHome group = groups.get(exchange.getGroup());
    return CompletableFuture.completedFuture(group.exchange(sender, exchange).toByteArray());
  }

  private CompletableFuture<byte[]> onClose(String sender, byte[] body) {
    CloseShares close = Messages.read(CloseShares.parser(), body);
    if (close == null || close.getGroup() >= groups.size()) {
      return refuse(sender, MessageKind.CLOSE_SHARES);
    }
    CloseReport report = groups.get(close.getGroup()).close(close.getEpoch());
    return CompletableFuture.completedFuture(report.toByteArray());
  }

  private CompletableFuture<byte[]> onHint(String sender, byte[] body) {
    RecallHint hint = Messages.read(RecallHint.parser(), body);
    if (hint == null || hint.getGroup() >= groups.size()) {
      return refuse(sender, MessageKind.RECALL_HINT);
    }
    GroupHome group = groups.get(hint.getGroup());
    group.adopt(hint.getEpoch(), hint.getHome());
    group.holder().hint(hint.getEpoch(), hint.getLinesList());
    transports.get(hint.getGroup()).send();
    return CompletableFuture.completedFuture(RecallHintAnswer.getDefaultInstance().toByteArray());
  }

  private CompletableFuture<byte[]> refuse(String sender, MessageKind kind) {
    context.events().log(LimitsEvent.MESSAGE_INVALID, sender, kind);
    return CompletableFuture.failedFuture(new IllegalArgumentException("invalid " + kind));
  }

  /**
   * Tells whether the shares belong to the current incarnation of this process; otherwise they are
   * not used and dropped at the next tick.
   *
   * @return true if they do
   */
  public boolean holdsShares() {
    return lease.isCurrent();
  }

  /**
   * Describes one limit at this host.
   *
   * @param group the group
   * @param epoch the epoch that this host takes part in
   * @param home the incarnation of the home
   * @param share the share held here, in millionths of a token
   * @param waiting what requests wait for, in millionths of a token
   * @param scarce whether the demand reaches the total
   * @param pool what is not handed out, if this host is the home and may grant; negative while
   *     shares above a lowered total are out
   * @param total the total in force
   */
  public record View(
      int group,
      long epoch,
      String home,
      Share share,
      long waiting,
      boolean scarce,
      @Nullable Share pool,
      LimitSpec total) {}

  /**
   * Describes every limit for the state dump.
   *
   * @return views by name of limit
   */
  public Map<String, View> view() {
    Map<String, View> views = new TreeMap<>();
    long now = context.clock().nanoTime();
    for (HeldLimit limit : limits.values()) {
      int group = limit.group();
      GroupHome home = groups.get(group);
      views.put(
          limit.name(),
          new View(
              group,
              home.knownEpoch(),
              home.knownHome(),
              limit.bucket().share(now),
              limit.waiting(),
              limit.scarce(),
              home.pool(limit.name()).orElse(null),
              limit.spec()));
    }
    return views;
  }
}
