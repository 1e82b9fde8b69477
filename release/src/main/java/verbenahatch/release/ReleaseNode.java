package verbenahatch.release;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Fact;
import verbenahatch.fleet.Facts;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.fleet.Rendezvous;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerLink;
import verbenahatch.store.StoreWriter;

/**
 * Splits traffic between versions, tests the evidence of this host, and coordinates the releases of
 * which this host is the coordinator.
 *
 * <p>{@link #tick()} and {@link #coordinate()} are called about every 500 ms, each by one thread;
 * only the second calls the store. All other methods are thread-safe.
 */
public final class ReleaseNode implements Releases {

  /**
   * Half of the time within which a fault must end on all hosts, less the time that a halt takes to
   * reach them.
   */
  static final Duration TICK = Duration.ofMillis(500);

  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);
  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(2);

  private final Clock clock;
  private final Events events;
  private final Fleet fleet;
  private final Facts facts;
  private final ConfigView config;
  private final PeerLink link;
  private final RecordWriter writer;
  private final Map<String, ActiveRelease> releases = new ConcurrentHashMap<>();
  private final Map<String, String> halts = new ConcurrentHashMap<>();
  private volatile Map<String, ActiveRelease> byService = Map.of();

  /**
   * Creates a node and registers its handler and listeners.
   *
   * @param clock the clock of the process
   * @param events the log of the process
   * @param fleet the members of the fleet
   * @param facts the durable facts, of which the node uses the halts
   * @param config the documents and records in force
   * @param link the link to the other hosts
   * @param writer the writer of records to the store
   */
  public ReleaseNode(
      Clock clock,
      Events events,
      Fleet fleet,
      Facts facts,
      ConfigView config,
      PeerLink link,
      StoreWriter writer) {
    this.clock = clock;
    this.events = events;
    this.fleet = fleet;
    this.facts = facts;
    this.config = config;
    this.link = link;
    this.writer = new RecordWriter(writer, events);
    facts.onFact(this::adoptFact);
    link.handle(MessageKind.RELEASE_EVIDENCE, this::onEvidence);
  }

  @Override
  public String chooseVersion(String service, String currentVersion, double draw) {
    ActiveRelease release = byService.get(service);
    if (release == null || !release.plan().fromVersion().equals(currentVersion)) {
      return currentVersion;
    }
    return draw < release.exposure(fleet.isFresh()) ? release.plan().toVersion() : currentVersion;
  }

  @Override
  public void record(
      String service, String route, String version, boolean failed, long latencyNanos) {
    ActiveRelease release = byService.get(service);
    if (release == null) {
      return;
    }
    boolean isNew = release.plan().toVersion().equals(version);
    if (isNew || release.plan().fromVersion().equals(version)) {
      release.hostEvidence().record(route, isNew, failed, latencyNanos);
    }
  }

  @Override
  public List<ReleaseStatus> status() {
    boolean fresh = fleet.isFresh();
    List<ReleaseStatus> statuses = new ArrayList<>();
    for (EnvironmentDocument.Release plan : plans()) {
      ActiveRelease release = releases.get(plan.id());
      if (release != null) {
        statuses.add(release.status(fresh));
      }
    }
    return statuses;
  }

  /**
   * Adopts plans and records, tests this host's evidence and reports it to the coordinators. Does
   * not block.
   */
  public void tick() {
    refreshReleases();
    for (ActiveRelease release : byService.values()) {
      Optional<String> fault = release.hostEvidence().step();
      if (!isRunning(release)) {
        continue;
      }
      fault.ifPresent(reason -> halt(release, reason));
      report(release);
      release.fleetEvidence().step().ifPresent(reason -> halt(release, reason));
    }
  }

  /** Advances the releases of which this host is the coordinator. Blocks on calls to the store. */
  public void coordinate() {
    for (ActiveRelease release : List.copyOf(releases.values())) {
      if (isCoordinator(release)) {
        advance(release);
      }
    }
  }

  private List<EnvironmentDocument.Release> plans() {
    return config.document().map(EnvironmentDocument::releases).orElse(List.of());
  }

  private void refreshReleases() {
    Map<String, String> versions = new HashMap<>();
    config
        .document()
        .ifPresent(
            document -> document.services().forEach(s -> versions.put(s.name(), s.version())));
    Map<String, ActiveRelease> activeByService = new LinkedHashMap<>();
    List<EnvironmentDocument.Release> plans = new ArrayList<>(plans());
    plans.sort(Comparator.comparing(EnvironmentDocument.Release::startAt));
    releases.keySet().removeIf(id -> plans.stream().noneMatch(plan -> plan.id().equals(id)));
    for (EnvironmentDocument.Release plan : plans) {
      ActiveRelease release = getOrCreate(plan);
      adoptRecord(release);
      boolean isApplicable = plan.fromVersion().equals(versions.get(plan.service()));
      if (isApplicable && !release.isHaltedOrRolledBack()) {
        activeByService.putIfAbsent(plan.service(), release);
      }
    }
    byService = Map.copyOf(activeByService);
  }

  /**
   * Returns the state of a planned release; a changed plan, as one with new times, starts with new
   * evidence.
   */
  private ActiveRelease getOrCreate(EnvironmentDocument.Release plan) {
    ActiveRelease existing = releases.get(plan.id());
    if (existing != null && existing.plan().equals(plan)) {
      return existing;
    }
    ActiveRelease release = new ActiveRelease(plan);
    String halted = halts.get(plan.id());
    if (halted != null) {
      release.halt(halted);
    }
    releases.put(plan.id(), release);
    return release;
  }

  private void adoptRecord(ActiveRelease release) {
    String name = ReleaseRecord.nameOf(release.plan().service());
    Optional<byte[]> value = config.object(name);
    if (value.isEmpty()) {
      return;
    }
    try {
      ReleaseRecord record = Json.read(value.get(), ReleaseRecord.class);
      if (release.adopt(record) && record.state() == ReleaseRecord.State.REVERSED) {
        events.log(ReleaseEvent.REVERSED, record.release(), record.reason());
      }
    } catch (JsonException e) {
      events.log(ReleaseEvent.UNREADABLE, name, e.toString());
    }
  }

  private static boolean isRunning(ActiveRelease release) {
    ReleaseRecord record = release.record();
    return record != null
        && record.state() == ReleaseRecord.State.RUNNING
        && release.haltReason() == null;
  }

  private void halt(ActiveRelease release, String reason) {
    if (release.halt(reason)) {
      String id = release.plan().id();
      halts.putIfAbsent(id, reason);
      events.log(ReleaseEvent.HALTED_HERE, id, reason);
      var unused = facts.publish(new Fact.ReleaseHalted(id, reason), PUBLISH_TIMEOUT);
    }
  }

  private void adoptFact(Fact fact) {
    if (fact instanceof Fact.ReleaseHalted halted) {
      halts.putIfAbsent(halted.release(), halted.reason());
      ActiveRelease release = releases.get(halted.release());
      if (release != null && release.halt(halted.reason())) {
        events.log(ReleaseEvent.HALTED, halted.release(), halted.reason());
      }
    }
  }

  private @Nullable Member coordinator(ActiveRelease release) {
    Member self = fleet.self();
    List<Member> candidates = new ArrayList<>();
    for (Member member : fleet.members()) {
      boolean isSelf = member.incarnation().equals(self.incarnation());
      if (!member.leaving() && (isSelf || fleet.isInContact(member.incarnation()))) {
        candidates.add(member);
      }
    }
    return Rendezvous.first("release/" + release.plan().id(), candidates).orElse(null);
  }

  private boolean isCoordinator(ActiveRelease release) {
    Member member = coordinator(release);
    return member != null && member.incarnation().equals(fleet.self().incarnation());
  }

  private void report(ActiveRelease release) {
    Member coordinator = coordinator(release);
    if (coordinator == null) {
      return;
    }
    Map<String, RouteCounts> counts = release.hostEvidence().counts();
    if (coordinator.incarnation().equals(fleet.self().incarnation())) {
      release.fleetEvidence().report(coordinator.incarnation(), counts, clock.nanoTime());
      return;
    }
    byte[] body = EvidenceCodec.encode(release.plan().id(), counts);
    var unused = link.call(coordinator.peer(), MessageKind.RELEASE_EVIDENCE, body, REPORT_TIMEOUT);
  }

  private CompletableFuture<byte[]> onEvidence(String sender, byte[] body) {
    try {
      EvidenceCodec.Report report = EvidenceCodec.decode(body);
      ActiveRelease release = releases.get(report.release());
      if (release != null) {
        release.fleetEvidence().report(sender, report.counts(), clock.nanoTime());
      }
      return CompletableFuture.completedFuture(new byte[0]);
    } catch (InvalidProtocolBufferException e) {
      events.log(ReleaseEvent.UNREADABLE, sender, e.toString());
      return CompletableFuture.failedFuture(e);
    }
  }

  private void advance(ActiveRelease release) {
    ReleaseRecord record = release.record();
    String halted = release.haltReason();
    if (halted != null) {
      if (record == null || record.state() != ReleaseRecord.State.REVERSED) {
        write(release, ReleaseRecord.State.REVERSED, stageOf(record), halted);
      }
      return;
    }
    boolean ended = record != null && record.state() != ReleaseRecord.State.RUNNING;
    if (ended || byService.get(release.plan().service()) != release || !fleet.isFresh()) {
      return;
    }
    int stage = record == null ? ReleaseSchedule.NOT_STARTED : record.stage();
    long sinceMillis = record == null ? 0 : record.sinceMillis();
    long requests = record == null ? 0 : release.fleetEvidence().stageRequests(record.generation());
    apply(
        release,
        release.schedule().decide(clock.wallMillis(), stage, sinceMillis, requests),
        stage);
  }

  private static int stageOf(@Nullable ReleaseRecord record) {
    return record == null ? 0 : record.stage();
  }

  private void apply(ActiveRelease release, ReleaseSchedule.Decision decision, int stage) {
    String id = release.plan().id();
    if (decision instanceof ReleaseSchedule.Decision.Enter enter) {
      if (write(release, ReleaseRecord.State.RUNNING, enter.stage(), "")) {
        double exposure = ReleaseSchedule.exposure(enter.stage());
        events.log(ReleaseEvent.STAGE_ENTERED, id, enter.stage() + 1, exposure);
      }
    } else if (decision instanceof ReleaseSchedule.Decision.Finish) {
      if (write(release, ReleaseRecord.State.DONE, stage, "")) {
        events.log(ReleaseEvent.DONE, id, release.plan().toVersion());
      }
    } else if (decision instanceof ReleaseSchedule.Decision.RollBack rollBack) {
      halt(release, rollBack.reason());
    }
  }

  private boolean write(
      ActiveRelease release, ReleaseRecord.State state, int stage, String reason) {
    double exposure =
        switch (state) {
          case DONE -> 1;
          case REVERSED -> 0;
          case RUNNING -> ReleaseSchedule.exposure(stage);
        };
    return writer.write(release, state, stage, exposure, clock.wallMillis(), reason);
  }
}
