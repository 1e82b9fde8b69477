package verbenahatch.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Json;
import verbenahatch.model.KeyRing;
import verbenahatch.peer.PeerLink;
import verbenahatch.store.ObjectStore;

/**
 * One host's node in the fleet: membership, freshness, facts, configuration and keys.
 *
 * <p>It starts no threads. {@link #tick()} never blocks; {@link #storeStep()} and {@link
 * #watchStep(String, Duration)} block in store calls. Tests call the same methods under a manual
 * clock.
 */
public final class FleetNode implements Fleet {

  private final FleetCore core;
  private final ReplicatedObjects objects;
  private final StoreAccess store;
  private final KeyTable keys;
  private final ConfigHolder config;
  private final HeartbeatPoller poller;
  private final FactReplicator facts;
  private final StoreWatcher watcher;
  private final DurableWriter durable;
  private final Membership membership;
  private final FleetReadiness readiness;
  private final PeerLink link;

  /**
   * Creates a node that is not a member yet and responds to peers at once.
   *
   * @param self the member entry of this host, with the incarnation of the link
   * @param environment the environment that the host serves
   * @param clock the source of monotonic and wall time
   * @param events the event log
   * @param link the link to the peers
   * @param store the platform's object API
   * @param idSupplier supplies unique ids for incarnations and writes
   */
  public FleetNode(
      Member self,
      String environment,
      Clock clock,
      Events events,
      PeerLink link,
      ObjectStore store,
      Supplier<String> idSupplier) {
    this.link = link;
    this.config = new ConfigHolder(environment);
    this.keys = new KeyTable(environment, this::isFresh);
    this.core = new FleetCore(self, clock, events, keys::apply);
    this.objects = new ReplicatedObjects(events, adopters(environment));
    config.setObjectSource(
        name -> Optional.ofNullable(objects.get(name)).map(ReplicatedObjects.ObjectValue::value));
    this.store = new StoreAccess(store, events);
    this.watcher = new StoreWatcher(core, objects, this.store);
    this.durable = new DurableWriter(core, objects, this.store, keys, environment, idSupplier);
    this.facts = new FactReplicator(core, link, durable::isDurable);
    this.membership = new Membership(core, this.store, facts, watcher, idSupplier);
    Aggregation aggregation = new Aggregation();
    this.poller = new HeartbeatPoller(core, objects, link, aggregation);
    this.readiness = new FleetReadiness(core, objects, config, poller);
    new HeartbeatResponder(core, objects, this.store::isDown, aggregation).register(link);
  }

  private Map<String, ReplicatedObjects.Adopter> adopters(String environment) {
    return Map.of(
        "environment/" + environment,
        config::adoptDocument,
        "keys/" + environment,
        value -> keys.load(Json.read(value, KeyRing.class)),
        "drains/fleet",
        config::adoptDrains,
        Halts.NAME,
        value -> addHalts(Json.read(value, Halts.class)));
  }

  private void addHalts(Halts halts) {
    List<Fact> halted = new ArrayList<>();
    for (Halts.Halt halt : halts.halts()) {
      halted.add(new Fact.ReleaseHalted(halt.release(), halt.reason()));
    }
    core.addFacts(halted);
  }

  /** Sends due polls and pushes to peers and recomputes freshness; call it every 50 ms. */
  public void tick() {
    core.refresh();
    poller.tick();
    facts.tick();
  }

  /**
   * Joins the members, removes other members and makes facts durable; call it every 100 ms on one
   * thread.
   */
  public void storeStep() {
    String previousIncarnation = core.self().incarnation();
    membership.step();
    String currentIncarnation = core.self().incarnation();
    if (!currentIncarnation.equals(previousIncarnation)) {
      link.setIncarnation(currentIncarnation);
    }
    durable.step();
  }

  /**
   * Returns the prefixes of the store to watch, each on its own thread.
   *
   * @return an immutable list
   */
  public List<String> watchPrefixes() {
    return watcher.prefixes();
  }

  /**
   * Returns whether this host watches the store for its availability zone.
   *
   * @return true if {@link #watchStep(String, Duration)} should be called
   */
  public boolean isWatcher() {
    return watcher.isWatcher();
  }

  /**
   * Watches one prefix of the store once.
   *
   * @param prefix one of {@link #watchPrefixes()}
   * @param maxWait the longest time to block
   * @return false if the store was unavailable
   */
  public boolean watchStep(String prefix, Duration maxWait) {
    return watcher.watch(prefix, maxWait);
  }

  /**
   * Attempts once to remove this host from the members. From the first call on this host uses no
   * keys and no shared limits.
   *
   * @return true once it is not a member
   */
  public boolean leaveStep() {
    return membership.leaveStep();
  }

  @Override
  public void markLeaving() {
    core.markLeaving();
  }

  /**
   * Returns the facts.
   *
   * @return the facts known to this host
   */
  public Facts facts() {
    return facts;
  }

  /**
   * Returns the configuration.
   *
   * @return the configuration known to this host
   */
  public ConfigView config() {
    return config;
  }

  /**
   * Returns the keys.
   *
   * @return the keys known to this host
   */
  public Keys keys() {
    return keys;
  }

  /**
   * Returns the reason why this host must not receive callers yet: it is not a member, not fresh,
   * has no document or lacks a generation that a majority of its peers reported.
   *
   * @return a short text for operators; empty if the host is ready
   */
  public String notReadyReason() {
    return readiness.reason();
  }

  /**
   * Returns the generation in force of each object, by name.
   *
   * @return a copy
   */
  public Map<String, Long> generations() {
    return objects.generations();
  }

  /**
   * Returns the number of calls that this module made to the store.
   *
   * @return the number of calls since the start
   */
  public long storeCalls() {
    return store.calls();
  }

  /**
   * Returns whether the last store call of this host failed.
   *
   * @return true if the store is unavailable or did not confirm a write
   */
  public boolean isStoreDown() {
    return store.isDown();
  }

  /**
   * Returns the number of facts known to this host.
   *
   * @return the number of facts
   */
  public int factCount() {
    return core.factCount();
  }

  /**
   * Returns the number of facts that are not known to this host to be in the store, without fences.
   *
   * @return the number of facts
   */
  public int factsNotDurable() {
    return durable.pendingCount();
  }

  /**
   * Returns the age of the last contact with each other member.
   *
   * @return the age in seconds by host name; infinite if there was no contact
   */
  public Map<String, Double> contactAgesSeconds() {
    Map<String, Double> ages = new LinkedHashMap<>();
    for (Member member : members()) {
      if (!member.incarnation().equals(self().incarnation())) {
        long nanos = core.contactAgeNanos(member.incarnation());
        ages.put(member.host(), nanos == Long.MAX_VALUE ? Double.POSITIVE_INFINITY : nanos / 1e9);
      }
    }
    return ages;
  }

  @Override
  public Member self() {
    return core.self();
  }

  @Override
  public List<Member> members() {
    return core.record().members();
  }

  @Override
  public long membersEpoch() {
    return core.record().epoch();
  }

  @Override
  public boolean isFresh() {
    return core.isFresh();
  }

  @Override
  public long remainingFreshnessNanos() {
    return core.remainingFreshnessNanos();
  }

  @Override
  public boolean isInContact(String incarnation) {
    return core.isInContact(incarnation);
  }

  @Override
  public boolean isExpired(String incarnation) {
    return core.isExpired(incarnation);
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    core.onChange(listener);
  }
}
