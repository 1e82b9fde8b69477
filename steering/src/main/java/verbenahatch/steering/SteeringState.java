package verbenahatch.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.feed.DocumentMessages;
import verbenahatch.steering.feed.FeedContext;
import verbenahatch.steering.feed.FeedMessages;
import verbenahatch.steering.feed.FeedPublisher;
import verbenahatch.steering.feed.Follower;
import verbenahatch.steering.feed.HostMessages;
import verbenahatch.steering.feed.PeerFeeds;
import verbenahatch.steering.feed.ReleaseMessages;
import verbenahatch.steering.feed.TargetMessages;
import verbenahatch.steering.feed.ZoneMessages;
import verbenahatch.steering.model.Feed;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.HostRecord;
import verbenahatch.steering.model.PlatformStore;
import verbenahatch.steering.model.PlatformStore.WriteError;
import verbenahatch.steering.model.ReleaseOrder;
import verbenahatch.steering.model.SteeringDocument;
import verbenahatch.steering.model.SteeringDocument.SteeringService;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.model.TargetRecord;
import verbenahatch.steering.quota.Admission;

/** Holds what this host believes, fed by the store and by beats. Thread-safe. */
final class SteeringState implements AutoCloseable {

  /** A host that stays silent for this time loses its record. */
  private static final long FORGET_HOST_MILLIS = 20_000;

  /** A version that a peer knows for this time and this host does not shows a stale watch. */
  private static final long STALE_WATCH_MILLIS = 600;

  /** Further time before a host that follows another one takes itself for stale. */
  private static final long RELAY_MILLIS = 600;

  /** Longest time after a start in which hosts of the zone are heard before the store is read. */
  private static final long SOURCE_MILLIS = 300;

  /** Time in which all hosts register when the whole system starts for the first time. */
  private static final long FIRST_START_MILLIS = 1_000;

  /** Pause after a write of the own record, in which its event arrives. */
  private static final long WRITE_PAUSE_MILLIS = 2_000;

  final Clock clock;
  final Events events;
  final SteeringSettings settings;
  final HostTable hosts;
  final TargetTable targets;
  final Admission quotas;
  private final RegistryOutage outage = new RegistryOutage();
  final ReleaseTable releases;
  final TargetSelector selector;
  private final PlatformStore store;
  private final AtomicReference<@Nullable DocumentIndex> document = new AtomicReference<>();
  private final Closer closer = new Closer();
  private final FeedRelays relays;
  private final FeedContext feeds;
  private final List<Follower<?>> followers = new ArrayList<>();
  private final List<Consumer<FeedPublisher>> published = new ArrayList<>();
  private final Follower<SteeringDocument> documentFeed;
  private final Follower<TargetRecord> targetFeed;
  private final Follower<ReleaseOrder> releaseFeed;
  private final Follower<String> evacuationFeed;
  private final Follower<HostRecord> hostFeed;
  private final Map<String, HostRecord> hostRecords = new HashMap<>();
  private final Set<String> evacuated = new TreeSet<>();
  private final HostRecord self;
  private final long startNanos;
  private volatile boolean leaving;
  private volatile boolean registered;
  private long nextWriteNanos;
  private long staleDocumentNanos;
  private long staleTargetsNanos;

  SteeringState(
      Clock clock, Events events, SteeringSettings settings, PlatformStore store, String process) {
    this.clock = clock;
    this.events = events;
    this.settings = settings;
    this.store = store;
    this.startNanos = clock.nanoTime();
    this.nextWriteNanos = startNanos;
    hosts = new HostTable(clock, events, settings, process);
    targets =
        new TargetTable(
            clock, events, settings.regionsByZone(), settings.bounds().maxRegionShift());
    quotas = new Admission(clock, hosts, settings.bounds());
    releases = new ReleaseTable(clock, events, hosts, settings.bounds());
    selector = new TargetSelector(clock, targets, hosts);
    self =
        new HostRecord(
            settings.host(),
            process,
            settings.zone(),
            settings.region(),
            settings.callers(),
            settings.internalAddress() + ":" + settings.peerPort());
    relays = new FeedRelays(hosts, settings, this::storeFailed);
    feeds = new FeedContext(clock, events, closer.register(new PeerFeeds()), relays);
    documentFeed =
        follower(
            "document",
            store.documents(),
            new DocumentMessages(),
            this::applyDocuments,
            this::storeChanged);
    documentFeed.useShortWaits();
    targetFeed =
        follower(
            "targets",
            store.targets(),
            new TargetMessages(),
            this::applyTargets,
            this::registryChanged);
    releaseFeed =
        follower("releases", store.releases(), new ReleaseMessages(), this::applyReleases);
    evacuationFeed =
        follower("evacuations", store.evacuations(), new ZoneMessages(), this::applyEvacuations);
    hostFeed = follower("hosts", store.hosts(), new HostMessages(), this::applyHosts);
  }

  private <T> Follower<T> follower(
      String kind, Feed<T> feed, FeedMessages<T> messages, BiConsumer<Changes<T>, Boolean> apply) {
    return follower(kind, feed, messages, apply, reachable -> {});
  }

  private <T> Follower<T> follower(
      String kind,
      Feed<T> feed,
      FeedMessages<T> messages,
      BiConsumer<Changes<T>, Boolean> apply,
      Consumer<Boolean> onReachable) {
    Follower<T> follower = new Follower<>(kind, feed, messages, feeds, apply, onReachable);
    published.add(publisher -> publisher.publish(follower, messages));
    followers.add(follower);
    return closer.register(follower);
  }

  void start() {
    hostFeed.start();
    long most = settings.firstStart() ? FIRST_START_MILLIS + SOURCE_MILLIS : SOURCE_MILLIS;
    for (Follower<?> follower : followers) {
      if (follower != hostFeed) {
        follower.startAfter(this::knowsSources, most);
      }
    }
  }

  /** Offers the feeds of this host to others. */
  void publish(FeedPublisher publisher) {
    published.forEach(publish -> publish.accept(publisher));
  }

  /** Tells whether it is known which host to ask for the feeds, so that few ask the store. */
  private boolean knowsSources() {
    if (!hostFeed.isListed()) {
      return false;
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
    if (settings.firstStart() && millis < FIRST_START_MILLIS) {
      return false;
    }
    return hosts.isSmallFleet() || !hosts.hasZoneHostBefore() || relays.relay() != null;
  }

  private void applyDocuments(Changes<SteeringDocument> changes, boolean complete) {
    changes.written().values().forEach(offered -> offer(offered, "store"));
  }

  /** Takes a document if it is newer than the one in force. */
  void offer(SteeringDocument offered, String from) {
    DocumentIndex next = new DocumentIndex(offered);
    while (true) {
      DocumentIndex now = document.get();
      if (now != null && now.document.version() >= offered.version()) {
        if (now.document.version() > offered.version()) {
          events.log(
              SteeringEvent.DOCUMENT_REFUSED, offered.version(), now.document.version(), from);
        }
        return;
      }
      if (document.compareAndSet(now, next)) {
        events.log(
            SteeringEvent.DOCUMENT_APPLIED,
            offered.version(),
            from,
            offered.routes().size(),
            offered.workspaces().size());
        quotas.allocate(offered.workspaces());
        return;
      }
    }
  }

  private void applyTargets(Changes<TargetRecord> changes, boolean complete) {
    releases.sawVersions(changes.written().values());
    if (complete) {
      targets.replace(changes.written());
    } else {
      targets.change(changes.written().values(), changes.gone());
    }
  }

  private void applyReleases(Changes<ReleaseOrder> changes, boolean complete) {
    changes.written().values().forEach(releases::put);
    changes.gone().forEach(releases::remove);
  }

  private void applyEvacuations(Changes<String> changes, boolean complete) {
    if (complete) {
      evacuated.clear();
    }
    evacuated.addAll(changes.written().values());
    evacuated.removeAll(changes.gone());
    targets.evacuate(evacuated, longestColdStart());
  }

  private long longestColdStart() {
    DocumentIndex now = document.get();
    long longest = 0;
    if (now != null) {
      for (SteeringService service : now.document.services().values()) {
        longest = Math.max(longest, service.coldStartMillis());
      }
    }
    return longest;
  }

  private void applyHosts(Changes<HostRecord> changes, boolean complete) {
    if (complete) {
      hostRecords.clear();
    }
    hostRecords.putAll(changes.written());
    hostRecords.keySet().removeAll(changes.gone());
    hosts.register(hostRecords);
  }

  /** Returns the document in force, null before the first one. */
  @Nullable DocumentIndex document() {
    return document.get();
  }

  /**
   * Tells whether this host has read everything that decides about requests.
   *
   * <p>Without the orders of releases, evacuations or the other hosts it would use targets or parts
   * of quotas that it must not use.
   */
  boolean isInformed() {
    return document.get() != null
        && targetFeed.isListed()
        && releaseFeed.isListed()
        && evacuationFeed.isListed()
        && hostFeed.isListed();
  }

  /** Tells whether this host can serve callers. */
  boolean isReady() {
    return !leaving && isInformed() && targets.size() > 0;
  }

  boolean isLeaving() {
    return leaving;
  }

  void leave() {
    leaving = true;
    hosts.leave();
  }

  /** Tells whether the store answers this host, or the host that reads it for this one. */
  boolean storeReachable() {
    return documentFeed.isReachable() && releaseFeed.isReachable() && !storeFailed();
  }

  /** Tells whether the store refused this host's own last call. */
  private boolean storeFailed() {
    return followers.stream().anyMatch(Follower::storeFailed);
  }

  /** Does the periodic work that does not call the store. */
  void tick() {
    targets.expire();
    hosts.logChanges();
    followers.forEach(Follower::checkSource);
    DocumentIndex now = document.get();
    if (now != null) {
      quotas.allocate(now.document.workspaces());
    }
    detectStaleWatches(now == null ? 0 : now.document.version());
  }

  /** Repeats the long calls of other feeds, which the store may have forgotten in an outage. */
  private void storeChanged(boolean reachable) {
    for (Follower<?> follower : followers) {
      if (follower != documentFeed) {
        follower.repeatWatch();
      }
    }
  }

  private void registryChanged(boolean reachable) {
    if (reachable) {
      targets.registryReturned(outage.returned(clock.nanoTime()));
    } else {
      outage.lost(Math.max(targetFeed.revision(), newestTargetsHeard()));
    }
  }

  private long newestTargetsHeard() {
    long newest = 0;
    for (HostBeat beat : hosts.live()) {
      newest = Math.max(newest, beat.getTargetsRevision());
    }
    return newest;
  }

  private void detectStaleWatches(long version) {
    long newestDocument = 0;
    for (HostBeat beat : hosts.live()) {
      newestDocument = Math.max(newestDocument, beat.getDocumentVersion());
    }
    long newestTargets = newestTargetsHeard();
    outage.heard(newestTargets, clock.nanoTime());
    staleDocumentNanos = staleSince(newestDocument > version, staleDocumentNanos, documentFeed);
    boolean behind = newestTargets > targetFeed.revision();
    staleTargetsNanos = staleSince(behind, staleTargetsNanos, targetFeed);
  }

  private long staleSince(boolean behind, long since, Follower<?> feed) {
    if (!behind) {
      return 0;
    }
    long now = clock.nanoTime();
    if (since == 0) {
      return now;
    }
    long patience = STALE_WATCH_MILLIS + (relays.relay() == null ? 0 : RELAY_MILLIS);
    if (now - since > TimeUnit.MILLISECONDS.toNanos(patience)) {
      feed.refresh();
      return now;
    }
    return since;
  }

  /** Does the periodic work that writes to the store; runs on a thread that may block. */
  void maintain() {
    boolean due = clock.nanoTime() - nextWriteNanos >= 0;
    if (!registered && !leaving && due && hostFeed.isReachable()) {
      nextWriteNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_PAUSE_MILLIS);
      HostRecord there = hosts.registered(self.name());
      registered = self.equals(there) || confirmed("host/" + self.name(), store.putHost(self));
    }
    releases.tick(storeReachable(), store);
    if (hosts.leads(storeReachable())) {
      for (String name : hosts.silentFor(FORGET_HOST_MILLIS, startNanos)) {
        confirmed("host/" + name, store.removeHost(name));
      }
    }
    if (registered && due && hostFeed.isReachable() && hosts.registered(self.name()) == null) {
      // The record was removed while this host was not heard, or the write was not seen yet.
      registered = false;
    }
  }

  /** Takes this host out of the store before it ends. */
  void deregister() {
    if (registered) {
      confirmed("host/" + self.name(), store.removeHost(self.name()));
    }
  }

  private boolean confirmed(String object, Result<Boolean, WriteError> result) {
    if (!result.isOk()) {
      events.log(SteeringEvent.WRITE_FAILED, object, result.error().toString());
      return false;
    }
    return true;
  }

  /**
   * Writes the parts of a beat that describe this host.
   *
   * @param sequence the number of the beat
   */
  HostBeat beat(long sequence) {
    DocumentIndex now = document.get();
    HostBeat.Builder beat =
        HostBeat.newBuilder()
            .setHost(self.name())
            .setIncarnation(self.incarnation())
            .setSequence(sequence)
            .setReady(isReady())
            .setLeaving(leaving)
            .setCallersAddress(self.callersAddress())
            .setPeerAddress(self.peerAddress())
            .setZone(self.zone())
            .setRegion(self.region())
            .setStoreReachable(!storeFailed())
            .setReadsStore(followers.stream().allMatch(Follower::readsStore))
            .setDocumentVersion(now == null ? 0 : now.document.version())
            .setTargetsRevision(targetFeed.newestChange());
    beat.addAllUses(targets.exchangeUse(hosts.live()));
    beat.setUptimeMillis(hosts.uptimeMillis());
    quotas.writeDemands(beat);
    releases.describe(beat);
    return beat.build();
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
