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
 * <p>Thread-safe. {@link #tick()} must be called every {@link #TICK_MILLIS} ms.
 */
public final class SharedLimits implements Limits {

  /** Time between two calls of {@link #tick()}, which serves waiting requests, in milliseconds. */
  public static final long TICK_MILLIS = 10;

  private static final long CHUNK_BYTES = LimitSpec.CHUNK_BYTES;

  private final LimitsContext context;
  private final HostLease lease;
  private final Map<String, HeldLimit> limits = new ConcurrentHashMap<>();
  private final List<Map<String, HeldLimit>> byGroup = new ArrayList<>();
  private final List<LimitGroup> groups = new ArrayList<>();
  private final List<GroupTransport> transports = new ArrayList<>();
  private volatile List<Map<String, LimitSpec>> specs = groupsOf(Map.of());

  /**
   * Creates the limits of a host and registers the handlers of their messages.
   *
   * @param clock the monotonic clock for all periods and waits
   * @param fleet this host's view of the fleet
   * @param config the configuration in force
   * @param link sends and receives messages of other hosts
   * @param store the platform's object API
   * @param storeCalls runs blocking calls of {@code store}
   * @param events the event log
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
    config.onChange(this::applyDocument);
    config.document().ifPresent(this::applyDocument);
    link.handle(MessageKind.EXCHANGE_SHARES, this::onExchange);
    link.handle(MessageKind.CLOSE_SHARES, this::onClose);
    link.handle(MessageKind.RECALL_HINT, this::onRecallHint);
  }

  private void addGroup(int group) {
    Map<String, HeldLimit> groupLimits = new ConcurrentHashMap<>();
    byGroup.add(groupLimits);
    HolderLedger holderLedger =
        new HolderLedger(
            group, context.clock(), groupLimits::values, () -> context.members().live().size());
    LimitGroup limitGroup =
        new LimitGroup(group, context, lease, holderLedger, () -> specs.get(group));
    groups.add(limitGroup);
    transports.add(
        new GroupTransport(
            group,
            context,
            lease,
            limitGroup,
            () -> groupLimits.values().forEach(HeldLimit::serveWaiters)));
  }

  private synchronized void applyDocument(EnvironmentDocument document) {
    Map<String, LimitSpec> newSpecs = LimitSpec.of(document);
    for (LimitSpec spec : newSpecs.values()) {
      HeldLimit held = limits.get(spec.name());
      if (held == null) {
        held = new HeldLimit(spec, context.clock(), lease);
        byGroup.get(LimitSpec.groupOf(spec.name())).put(spec.name(), held);
        limits.put(spec.name(), held);
      } else {
        held.spec(spec);
      }
    }
    specs = groupsOf(newSpecs);
  }

  private static List<Map<String, LimitSpec>> groupsOf(Map<String, LimitSpec> specsByName) {
    List<Map<String, LimitSpec>> grouped = new ArrayList<>();
    for (int group = 0; group < LimitSpec.GROUPS; group++) {
      grouped.add(new HashMap<>());
    }
    for (LimitSpec spec : specsByName.values()) {
      grouped.get(LimitSpec.groupOf(spec.name())).put(spec.name(), spec);
    }
    return grouped;
  }

  /** Returns a limit of the document in force, or null if it has none of that name. */
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
    long remainingBytes = bytes;
    while (true) {
      long chunkBytes = Math.min(remainingBytes, CHUNK_BYTES);
      long bytesAfterChunk = remainingBytes - chunkBytes;
      CompletableFuture<Admission> decision = take(name, chunkBytes * Share.TOKEN, deadlineNanos);
      if (bytesAfterChunk <= 0) {
        return decision;
      }
      if (!decision.isDone()) {
        return decision.thenCompose(
            admission ->
                admission instanceof Admission.Admitted
                    ? takeLinkBytes(from, to, bytesAfterChunk, deadlineNanos)
                    : CompletableFuture.completedFuture(admission));
      }
      if (!(decision.join() instanceof Admission.Admitted)) {
        return decision;
      }
      remainingBytes = bytesAfterChunk;
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

  /** Drops the shares of a fenced incarnation and binds this host to its current one. */
  private synchronized void dropShares() {
    String current = context.fleet().self().incarnation();
    if (current.equals(lease.incarnation())) {
      return;
    }
    groups.forEach(LimitGroup::reset);
    lease.renew(current);
    context.events().log(LimitsEvent.SHARES_DROPPED, current);
  }

  /** Runs the periodic work: elections, exchanges and waiting requests. Calls may overlap. */
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
    LimitGroup group = groups.get(exchange.getGroup());
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

  private CompletableFuture<byte[]> onRecallHint(String sender, byte[] body) {
    RecallHint hint = Messages.read(RecallHint.parser(), body);
    if (hint == null || hint.getGroup() >= groups.size()) {
      return refuse(sender, MessageKind.RECALL_HINT);
    }
    LimitGroup group = groups.get(hint.getGroup());
    group.adopt(hint.getEpoch(), hint.getHome());
    group.holderLedger().recordRecall(hint.getEpoch(), hint.getLinesList());
    transports.get(hint.getGroup()).send();
    return CompletableFuture.completedFuture(RecallHintAnswer.getDefaultInstance().toByteArray());
  }

  private CompletableFuture<byte[]> refuse(String sender, MessageKind kind) {
    context.events().log(LimitsEvent.MESSAGE_INVALID, sender, kind);
    return CompletableFuture.failedFuture(new IllegalArgumentException("invalid " + kind));
  }

  /**
   * Returns whether the shares belong to the current incarnation of this process. Otherwise they
   * are not used, and the next tick drops them.
   *
   * @return true if they belong to the current incarnation
   */
  public boolean holdsShares() {
    return lease.isCurrent();
  }

  /**
   * The state of one limit at this host, for the state dump.
   *
   * @param group the group
   * @param epoch the newest epoch of the group known to this host
   * @param home the incarnation of the coordinator
   * @param share the share held here, in millionths of a token
   * @param waiting the tokens that requests wait for, in millionths
   * @param scarce whether the demand has reached the total for some time
   * @param pool the portion of the total that no host holds; negative while the outstanding shares
   *     exceed a lowered total; null unless this host is the coordinator and may grant
   * @param poolTotal the total that the pool is part of; null if there is no pool
   * @param total the total of the document in force at this host
   */
  public record View(
      int group,
      long epoch,
      String home,
      Share share,
      long waiting,
      boolean scarce,
      @Nullable Share pool,
      @Nullable LimitSpec poolTotal,
      LimitSpec total) {}

  /**
   * Returns the state of every limit for the state dump.
   *
   * @return the states by name of the limit
   */
  public Map<String, View> view() {
    Map<String, View> views = new TreeMap<>();
    long now = context.clock().nanoTime();
    for (HeldLimit limit : limits.values()) {
      int group = limit.group();
      LimitGroup limitGroup = groups.get(group);
      views.put(
          limit.name(),
          new View(
              group,
              limitGroup.knownEpoch(),
              limitGroup.knownCoordinator(),
              limit.bucket().share(now),
              limit.waiting(),
              limit.scarce(),
              limitGroup.pool(limit.name()).orElse(null),
              limitGroup.poolTotal(limit.name()).orElse(null),
              limit.spec()));
    }
    return views;
  }
}
