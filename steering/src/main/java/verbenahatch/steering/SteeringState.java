package verbenahatch.steering;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
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
import verbenahatch.steering.feed.StoreEras;
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
import verbenahatch.steering.model.StoreRevision;
import verbenahatch.steering.model.TargetRecord;
import verbenahatch.steering.quota.Admission;

/**
 * Holds this host's view of the platform and of the fleet, updated by the feeds of the store and by
 * heartbeats. Thread-safe.
 */
final class SteeringState implements AutoCloseable {

  /** Time without a heartbeat after which the record of a host is removed from the store. */
  private static final long HOST_RECORD_EXPIRY_MILLIS = 20_000;

  /** Time for which a peer may know a newer change than this host before its feed is stale. */
  private static final long STALE_WATCH_MILLIS = 600;

  /** Additional time allowed to a host that reads a feed through a relay. */
  private static final long RELAY_DELAY_MILLIS = 600;

  /** Longest wait after a start for heartbeats of hosts of the zone before the store is read. */
  private static final long SOURCE_DISCOVERY_MILLIS = 300;

  /** Time within which all hosts register when the whole system starts for the first time. */
  private static final long FIRST_START_MILLIS = 1_000;

  final Clock clock;
  final Events events;
  final SteeringSettings settings;
  final HostTable hosts;
  final TargetTable targets;
  final Admission quotas;
  private final RegistryOutage outage = new RegistryOutage();
  final ReleaseTable releases;
  final TargetSelector selector;
  final StoreEras eras = new StoreEras(this::onNewEra);
  private final PlatformStore store;
  private final AtomicReference<@Nullable DocumentIndex> document = new AtomicReference<>();
  private final Closer closer = new Closer();
  private final FeedRelays relays;
  private final FeedContext feedContext;
  private final List<Follower<?>> followers = new ArrayList<>();
  private final List<Consumer<FeedPublisher>> publications = new ArrayList<>();
  private final Follower<SteeringDocument> documentFeed;
  private final Follower<TargetRecord> targetFeed;
  private final Follower<ReleaseOrder> releaseFeed;
  private final Follower<String> evacuationFeed;
  private final Follower<HostRecord> hostFeed;
  private final RestoreHold<ReleaseOrder> releaseHold;
  private final RestoreHold<String> evacuationHold;
  private final RestoreHold<HostRecord> hostHold;
  private final HostRecord self;
  private final long startNanos;
  final StopSignal stopSignal;
  private volatile boolean leaving;
  private final HostRegistration registration;
  private final List<FeedLag> feedLags;

  SteeringState(
      Clock clock,
      Events events,
      SteeringSettings settings,
      PlatformStore store,
      String incarnation,
      StopSignal stopSignal) {
    this.clock = clock;
    this.events = events;
    this.settings = settings;
    this.store = store;
    this.stopSignal = stopSignal;
    this.startNanos = clock.nanoTime();
    hosts = new HostTable(clock, events, settings, incarnation);
    targets =
        new TargetTable(
            clock, events, settings.regionsByZone(), settings.bounds().maxRegionShift());
    quotas = new Admission(clock, hosts, settings.bounds());
    releases = new ReleaseTable(clock, events, hosts, settings.bounds());
    selector = new TargetSelector(clock, targets, hosts);
    self =
        new HostRecord(
            settings.host(),
            incarnation,
            settings.zone(),
            settings.region(),
            settings.callers(),
            settings.internalAddress() + ":" + settings.peerPort());
    registration = new HostRegistration(self, startNanos);
    releaseHold = new RestoreHold<>(ReleaseTable::replaces, releases::replace);
    evacuationHold = new RestoreHold<>((shown, held) -> true, this::evacuate);
    hostHold = new RestoreHold<>((shown, held) -> true, hosts::register);
    store.observeEras(eras);
    relays = new FeedRelays(hosts, settings, this::storeFailed);
    feedContext = new FeedContext(clock, events, closer.register(new PeerFeeds()), relays, eras);
    documentFeed =
        follower(
            "document",
            store.documents(),
            new DocumentMessages(),
            this::applyDocuments,
            this::onStoreReachableChange);
    documentFeed.useShortWatches();
    targetFeed =
        follower(
            "targets",
            store.targets(),
            new TargetMessages(),
            this::applyTargets,
            this::onRegistryReachableChange);
    releaseFeed =
        follower("releases", store.releases(), new ReleaseMessages(), this::applyReleases);
    evacuationFeed =
        follower("evacuations", store.evacuations(), new ZoneMessages(), this::applyEvacuations);
    hostFeed = follower("hosts", store.hosts(), new HostMessages(), this::applyHosts);
    feedLags =
        List.of(
            // Versions of documents increase across restores of the store.
            new FeedLag(
                heartbeat -> new StoreRevision(0, heartbeat.getDocumentVersion()),
                () -> new StoreRevision(0, documentVersion()),
                documentFeed::refresh),
            lag(HostBeat::getTargetsRevision, targetFeed),
            lag(HostBeat::getReleasesRevision, releaseFeed),
            lag(HostBeat::getEvacuationsRevision, evacuationFeed));
  }

  private static FeedLag lag(ToLongFunction<HostBeat> newestOfPeer, Follower<?> follower) {
    return new FeedLag(
        beat -> new StoreRevision(beat.getStoreEra(), newestOfPeer.applyAsLong(beat)),
        follower::revision,
        follower::refresh);
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
    Follower<T> follower = new Follower<>(kind, feed, messages, feedContext, apply, onReachable);
    publications.add(publisher -> publisher.publish(follower, messages));
    followers.add(follower);
    return closer.register(follower);
  }

  void start() {
    hostFeed.start();
    long maxWaitMillis =
        settings.firstStart()
            ? FIRST_START_MILLIS + SOURCE_DISCOVERY_MILLIS
            : SOURCE_DISCOVERY_MILLIS;
    for (Follower<?> follower : followers) {
      if (follower != hostFeed) {
        follower.startAfter(this::isFeedSourceKnown, maxWaitMillis);
      }
    }
  }

  /** Publishes the feeds of this host to other hosts. */
  void publish(FeedPublisher publisher) {
    publications.forEach(publish -> publish.accept(publisher));
  }

  /**
   * Returns whether it is known whether to read the feeds from the store or through a relay, so
   * that few hosts call the store.
   */
  private boolean isFeedSourceKnown() {
    if (!hostFeed.isListed()) {
      return false;
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
    if (settings.firstStart() && millis < FIRST_START_MILLIS) {
      return false;
    }
    return hosts.isSmallFleet() || !hosts.hasEarlierHostInZone() || relays.relay() != null;
  }

  private void applyDocuments(Changes<SteeringDocument> changes, boolean complete) {
    changes.written().values().forEach(candidate -> applyIfNewer(candidate, "store"));
  }

  /**
   * Puts a document in force if it is newer than the current one; refuses and logs an older one.
   */
  void applyIfNewer(SteeringDocument candidate, String source) {
    DocumentIndex next = new DocumentIndex(candidate);
    while (true) {
      DocumentIndex current = document.get();
      if (current != null && current.document.version() >= candidate.version()) {
        if (current.document.version() > candidate.version()) {
          events.log(
              SteeringEvent.DOCUMENT_REFUSED,
              candidate.version(),
              current.document.version(),
              source);
        }
        return;
      }
      if (document.compareAndSet(current, next)) {
        events.log(
            SteeringEvent.DOCUMENT_APPLIED,
            candidate.version(),
            source,
            candidate.routes().size(),
            candidate.workspaces().size());
        quotas.allocate(candidate.workspaces());
        return;
      }
    }
  }

  /** Lists all feeds again, because the store lost writes and issues revisions again. */
  private void onNewEra(long era, long previousEra) {
    events.log(SteeringEvent.STORE_RESTORED, era, previousEra);
    followers.forEach(Follower::storeRestored);
  }

  private void applyTargets(Changes<TargetRecord> changes, boolean complete) {
    if (targetFeed.isListed() && changes.revision().era() > targetFeed.revision().era()) {
      targets.storeRestored();
    }
    releases.addVersions(changes.written().values());
    if (complete) {
      targets.replace(changes.written());
    } else {
      targets.applyChanges(changes.written().values(), changes.gone());
    }
  }

  private void applyReleases(Changes<ReleaseOrder> changes, boolean complete) {
    releaseHold.apply(changes, complete, clock.nanoTime());
  }

  private void applyEvacuations(Changes<String> changes, boolean complete) {
    evacuationHold.apply(changes, complete, clock.nanoTime());
  }

  private void evacuate(Map<String, String> zones) {
    targets.evacuate(zones.keySet(), longestColdStart());
  }

  private long longestColdStart() {
    DocumentIndex current = document.get();
    long longest = 0;
    if (current != null) {
      for (SteeringService service : current.document.services().values()) {
        longest = Math.max(longest, service.coldStartMillis());
      }
    }
    return longest;
  }

  private void applyHosts(Changes<HostRecord> changes, boolean complete) {
    hostHold.apply(changes, complete, clock.nanoTime());
  }

  /** Returns the document in force, null before the first one. */
  @Nullable DocumentIndex document() {
    return document.get();
  }

  private long documentVersion() {
    DocumentIndex current = document.get();
    return current == null ? 0 : current.document.version();
  }

  /**
   * Returns whether this host has read all feeds that requests depend on.
   *
   * <p>Without the orders of releases, the evacuations or the records of other hosts it would use
   * targets or shares of quotas that it must not use.
   */
  boolean hasReadAllFeeds() {
    return document.get() != null
        && targetFeed.isListed()
        && releaseFeed.isListed()
        && evacuationFeed.isListed()
        && hostFeed.isListed();
  }

  /** Returns whether this host can serve callers. */
  boolean isReady() {
    return !isLeaving() && hasReadAllFeeds() && targets.size() > 0;
  }

  /** Returns whether this host stops, also if the stop was requested while it starts. */
  boolean isLeaving() {
    return leaving || stopSignal.plan() != null;
  }

  void leave() {
    leaving = true;
    hosts.markLeaving();
  }

  /** Returns whether the store answers this host, or the relay that reads it for this host. */
  boolean storeReachable() {
    return documentFeed.isReachable() && releaseFeed.isReachable() && !storeFailed();
  }

  /** Returns whether this host's own last call to the store failed for any feed. */
  private boolean storeFailed() {
    return followers.stream().anyMatch(Follower::storeFailed);
  }

  /** Does the periodic work that does not call the store. */
  void tick() {
    targets.expire();
    releaseHold.expire(clock.nanoTime());
    evacuationHold.expire(clock.nanoTime());
    hostHold.expire(clock.nanoTime());
    hosts.logChanges();
    followers.forEach(Follower::checkSource);
    DocumentIndex current = document.get();
    if (current != null) {
      quotas.allocate(current.document.workspaces());
    }
    detectStaleFeeds();
  }

  /** Restarts the watches of the other feeds, which the store may have lost in an outage. */
  private void onStoreReachableChange(boolean reachable) {
    for (Follower<?> follower : followers) {
      if (follower != documentFeed) {
        follower.restartWatch();
      }
    }
  }

  private void onRegistryReachableChange(boolean reachable) {
    if (reachable) {
      targets.registryRecovered(outage.markReachable(clock.nanoTime()));
    } else {
      outage.markLost(StoreRevision.max(targetFeed.revision(), newestTargetsRevisionOfPeers()));
    }
  }

  private StoreRevision newestTargetsRevisionOfPeers() {
    StoreRevision newest = StoreRevision.NONE;
    for (HostBeat heartbeat : hosts.live()) {
      StoreRevision revision =
          new StoreRevision(heartbeat.getStoreEra(), heartbeat.getTargetsRevision());
      newest = StoreRevision.max(newest, revision);
    }
    return newest;
  }

  private void detectStaleFeeds() {
    outage.observePeerRevision(newestTargetsRevisionOfPeers(), clock.nanoTime());
    long toleranceMillis = STALE_WATCH_MILLIS + (relays.relay() == null ? 0 : RELAY_DELAY_MILLIS);
    List<HostBeat> heartbeats = hosts.live();
    for (FeedLag lag : feedLags) {
      lag.check(heartbeats, toleranceMillis, clock.nanoTime());
    }
  }

  /** Does the periodic work that writes to the store; runs on a thread that may block. */
  void maintain() {
    maintainRegistration();
    // A state is written on the basis of the orders that the store holds in its current era.
    boolean ordersCurrent = releaseFeed.revision().era() == eras.current();
    releases.tick(storeReachable() && ordersCurrent, store);
    if (hosts.isLeader(storeReachable())) {
      for (String name : hosts.hostsWithoutHeartbeat(HOST_RECORD_EXPIRY_MILLIS, startNanos)) {
        if (confirmed("host/" + name, store.removeHost(name))) {
          hostHold.drop(name);
        }
      }
    }
  }

  /** Writes or removes this host's record if that is due; a failed call is repeated. */
  private void maintainRegistration() {
    HostRegistration.View view =
        new HostRegistration.View(
            eras.current(),
            hostFeed.isReachable(),
            hostFeed.revision().era(),
            hosts.registered(self.name()));
    HostRegistration.Action action = registration.next(leaving, view, clock.nanoTime());
    if (action == HostRegistration.Action.NONE) {
      return;
    }
    boolean write = action == HostRegistration.Action.WRITE;
    if (confirmed(
        "host/" + self.name(), write ? store.putHost(self) : store.removeHost(self.name()))) {
      registration.confirm(action);
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
   * Returns a heartbeat that describes this host.
   *
   * @param sequence the number of the heartbeat, which grows with each one of this process
   */
  HostBeat heartbeat(long sequence) {
    long era = eras.current();
    HostBeat.Builder heartbeat =
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
            .setDocumentVersion(documentVersion())
            .setStoreEra(era)
            .setTargetsRevision(newestChange(targetFeed, era))
            .setReleasesRevision(newestChange(releaseFeed, era))
            .setEvacuationsRevision(newestChange(evacuationFeed, era));
    heartbeat.addAllUses(targets.exchangeUse(hosts.live()));
    heartbeat.setUptimeMillis(hosts.uptimeMillis());
    heartbeat.setCores((float) settings.capacity().cores());
    heartbeat.setLinkMbps((float) settings.capacity().linkMbps());
    quotas.writeDemands(heartbeat);
    releases.addEvidence(heartbeat);
    return heartbeat.build();
  }

  /** Returns the newest change of a feed in an era, 0 if it was not read in that era yet. */
  private static long newestChange(Follower<?> follower, long era) {
    StoreRevision newest = follower.newestChange();
    return newest.era() == era ? newest.number() : 0;
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
