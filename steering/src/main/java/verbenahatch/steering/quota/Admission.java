package verbenahatch.steering.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.AdmissionAnswer;
import verbenahatch.peer.generated.AdmissionRequest;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.PeerDatagram;
import verbenahatch.peer.generated.RegionUse;
import verbenahatch.peer.generated.WorkspaceDemand;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.SteeringSettings.Bounds;
import verbenahatch.steering.quota.QuotaFleet.Member;

/**
 * Decides whether requests are within the rates of their workspaces.
 *
 * <p>In a small fleet this host decides at once by its share of the rate. In a large one it asks
 * the coordinator of the workspace in its region; if that one times out, this host admits an even
 * share of the rate itself. Thread-safe; no method blocks.
 */
public final class Admission {

  /** Time after which a coordinator is asked again, because a datagram may be lost. */
  private static final long RETRY_MILLIS = 100;

  /** Time after which a coordinator has timed out for a request. */
  private static final long TIMEOUT_MILLIS = 250;

  /**
   * Time for which grants of a coordinator count beyond the window. A network partition may go
   * undetected for this long, while the coordinator on its other side still uses the whole rate.
   */
  private static final long PARTITION_DETECTION_MILLIS = 2_500;

  /** Matches the incarnation of no coordinator, so that all grants are counted. */
  private static final String NO_COORDINATOR = "";

  /** Sends datagrams to other hosts and schedules tasks. */
  public interface Transport {

    /**
     * Sends a datagram, which may be lost.
     *
     * @param address an address for peers, IP address and port
     * @param datagram the datagram
     */
    void send(String address, PeerDatagram datagram);

    /**
     * Runs a task after a delay.
     *
     * @param millis the delay in milliseconds
     * @param task the task
     */
    void runAfter(long millis, Runnable task);
  }

  /** The outcome of the decision about a request; used in metrics. */
  public enum Decision {
    /** The coordinator of the workspace, or this host in a small fleet, admitted it. */
    ADMITTED(true),
    /** It exceeds the rate. */
    OVER_QUOTA(false),
    /** The coordinator timed out, and an even share of the rate had headroom. */
    ADMITTED_ALONE(true),
    /** The coordinator timed out, and an even share of the rate was used up. */
    OVER_EVEN_PART(false);

    private final boolean admitted;

    Decision(boolean admitted) {
      this.admitted = admitted;
    }

    /**
     * Returns whether the request is admitted.
     *
     * @return true if it is within the rate
     */
    public boolean isAdmitted() {
      return admitted;
    }
  }

  /** Holds a request to a coordinator until a response arrives or the request times out. */
  private record PendingRequest(
      SteeringWorkspace workspace, Member coordinator, Consumer<Decision> callback, long id) {}

  private final Clock clock;
  private final Bounds bounds;
  private final QuotaFleet fleet;
  private final QuotaTable localTable;
  private final QuotaTable coordinatorTable;
  private final RegionReports regionReports;
  private final QuotaCoordinators coordinators = new QuotaCoordinators();
  private final SmoothedAliveFraction smoothedAliveFraction;
  private final AtomicLong ids = new AtomicLong();
  private final Map<Long, PendingRequest> pending = new ConcurrentHashMap<>();

  /** Holds what a coordinator of this region reported as admitted in its last heartbeat. */
  private record CoordinatorUsage(String incarnation, int admitted, long atNanos) {}

  /** The last reports of this region's coordinators by workspace; used by one thread at a time. */
  private final Map<String, CoordinatorUsage> coordinatorUsages = new HashMap<>();

  /** What this process was granted, by workspace and by the incarnation that granted it. */
  private final Map<String, Map<String, SlidingWindowCounter>> granted = new ConcurrentHashMap<>();

  /** The monotonic time in nanoseconds since which the coordinator of a workspace is timed out. */
  private final Map<String, Long> timedOutSince = new ConcurrentHashMap<>();

  private volatile Set<String> coordinatedWorkspaces = Set.of();
  private volatile @Nullable Transport transport;

  /**
   * Creates the admission control of one host.
   *
   * @param clock the clock of the process
   * @param fleet this host's view of the fleet
   * @param bounds the bounds of quotas from the settings
   */
  public Admission(Clock clock, QuotaFleet fleet, Bounds bounds) {
    this.clock = clock;
    this.bounds = bounds;
    this.fleet = fleet;
    smoothedAliveFraction =
        new SmoothedAliveFraction(bounds.quotaWindowMillis(), 0, clock.nanoTime());
    regionReports = new RegionReports(clock, fleet, bounds.quotaWindowMillis());
    localTable =
        new QuotaTable(
            clock, bounds, new HeartbeatReports(clock, fleet, bounds.quotaWindowMillis()));
    coordinatorTable = new QuotaTable(clock, bounds, regionReports);
  }

  /**
   * Sets the transport to other hosts.
   *
   * @param datagrams the transport used from now on
   */
  public void connect(Transport datagrams) {
    transport = datagrams;
  }

  /**
   * Decides about a request.
   *
   * @param workspace the workspace whose key came with the request
   * @param callback receives the decision once, on this thread or another one
   */
  public void admit(SteeringWorkspace workspace, Consumer<Decision> callback) {
    if (workspace.ratePerSecond() <= 0) {
      callback.accept(Decision.ADMITTED);
      return;
    }
    if (fleet.isSmallFleet()) {
      callback.accept(localTable.admit(workspace) ? Decision.ADMITTED : Decision.OVER_QUOTA);
      return;
    }
    Member coordinator = coordinators.coordinator(workspace.name());
    Transport datagrams = transport;
    if (coordinator == null || datagrams == null) {
      callback.accept(admitUncoordinated(workspace));
      return;
    }
    if (coordinator.incarnation().equals(fleet.incarnation())) {
      timedOutSince.remove(workspace.name());
      int elsewhere = grantedElsewhere(workspace.name(), coordinator.incarnation());
      boolean admitted =
          coordinatorTable.admitFor(workspace.name(), coordinator.incarnation(), elsewhere);
      callback.accept(recordDecision(workspace.name(), coordinator, admitted));
      return;
    }
    PendingRequest request =
        new PendingRequest(workspace, coordinator, callback, ids.incrementAndGet());
    pending.put(request.id, request);
    sendRequest(request, datagrams);
    datagrams.runAfter(
        RETRY_MILLIS,
        () -> {
          if (pending.containsKey(request.id)) {
            sendRequest(request, datagrams);
          }
        });
    datagrams.runAfter(TIMEOUT_MILLIS, () -> finish(request.id, AdmissionAnswer.Verdict.NOT_HOME));
  }

  /**
   * Describes how {@link #admit} would decide now; counts and sends nothing.
   *
   * @param workspace the workspace
   * @return what this host knows of its quota
   */
  public QuotaView view(SteeringWorkspace workspace) {
    String name = workspace.name();
    if (workspace.ratePerSecond() <= 0) {
      return new QuotaView(QuotaView.DecidedBy.NOBODY, "", 0, 0, 0, 0);
    }
    if (fleet.isSmallFleet()) {
      return localTable.view(name, false, "");
    }
    Member coordinator = coordinators.coordinator(name);
    if (coordinator != null && coordinator.incarnation().equals(fleet.incarnation())) {
      return coordinatorTable.view(name, true, coordinator.host());
    }
    boolean alone = coordinator == null || transport == null;
    return new QuotaView(
        alone ? QuotaView.DecidedBy.THIS_HOST_ALONE : QuotaView.DecidedBy.COORDINATOR,
        coordinator == null ? "" : coordinator.host(),
        0,
        0,
        grantedElsewhere(name, NO_COORDINATOR),
        -1);
  }

  private void sendRequest(PendingRequest pendingRequest, Transport datagrams) {
    String name = pendingRequest.workspace.name();
    AdmissionRequest request =
        AdmissionRequest.newBuilder()
            .setId(pendingRequest.id)
            .setWorkspace(name)
            .setIncarnation(fleet.incarnation())
            .setGrantedElsewhere(grantedElsewhere(name, pendingRequest.coordinator.incarnation()))
            .build();
    datagrams.send(
        pendingRequest.coordinator.address(),
        PeerDatagram.newBuilder().setAdmissionRequest(request).build());
  }

  private Decision recordDecision(String workspace, Member coordinator, boolean admitted) {
    if (!admitted) {
      return Decision.OVER_QUOTA;
    }
    granted
        .computeIfAbsent(workspace, name -> new ConcurrentHashMap<>())
        .computeIfAbsent(
            coordinator.incarnation(),
            incarnation ->
                new SlidingWindowCounter(bounds.quotaWindowMillis() + PARTITION_DETECTION_MILLIS))
        .add(clock.nanoTime());
    return Decision.ADMITTED;
  }

  private Decision admitUncoordinated(SteeringWorkspace workspace) {
    double draw = ThreadLocalRandom.current().nextDouble();
    int granted = grantedElsewhere(workspace.name(), NO_COORDINATOR);
    long timedOutNanos = timedOutSince.computeIfAbsent(workspace.name(), name -> clock.nanoTime());
    boolean admitted =
        coordinatorTable.admitUncoordinated(workspace, fleet.count(), granted, timedOutNanos, draw);
    return admitted ? Decision.ADMITTED_ALONE : Decision.OVER_EVEN_PART;
  }

  /**
   * Returns the requests granted to this process within the window by others than a coordinator.
   */
  private int grantedElsewhere(String workspace, String coordinatorIncarnation) {
    long now = clock.nanoTime();
    int sum =
        localTable.admittedHere(workspace) + coordinatorTable.admittedUncoordinated(workspace);
    for (Map.Entry<String, SlidingWindowCounter> entry :
        granted.getOrDefault(workspace, Map.of()).entrySet()) {
      if (!entry.getKey().equals(coordinatorIncarnation)) {
        sum += entry.getValue().count(now);
      }
    }
    return sum;
  }

  private void finish(long id, AdmissionAnswer.Verdict verdict) {
    PendingRequest request = pending.remove(id);
    if (request == null) {
      return;
    }
    switch (verdict) {
      case ADMITTED ->
          request.callback.accept(
              recordDecision(request.workspace.name(), request.coordinator, true));
      case OVER_QUOTA -> request.callback.accept(Decision.OVER_QUOTA);
      default -> request.callback.accept(admitUncoordinated(request.workspace));
    }
    if (verdict == AdmissionAnswer.Verdict.ADMITTED
        || verdict == AdmissionAnswer.Verdict.OVER_QUOTA) {
      timedOutSince.remove(request.workspace.name());
    }
  }

  /**
   * Handles a datagram that concerns admissions.
   *
   * @param datagram any datagram; others are ignored
   * @param senderAddress the address for peers of its sender, IP address and port
   */
  public void receive(PeerDatagram datagram, String senderAddress) {
    Transport datagrams = transport;
    if (datagrams == null) {
      return;
    }
    switch (datagram.getContentCase()) {
      case ADMISSION_REQUEST -> respond(datagram.getAdmissionRequest(), senderAddress, datagrams);
      case ADMISSION_ANSWER ->
          finish(datagram.getAdmissionAnswer().getId(), datagram.getAdmissionAnswer().getVerdict());
      case REGION_USE -> receiveRegionUse(datagram.getRegionUse(), datagrams);
      default -> {}
    }
  }

  private void respond(AdmissionRequest request, String senderAddress, Transport datagrams) {
    AdmissionAnswer.Verdict verdict = AdmissionAnswer.Verdict.NOT_HOME;
    if (coordinatedWorkspaces.contains(request.getWorkspace())) {
      boolean admitted =
          coordinatorTable.admitFor(
              request.getWorkspace(), request.getIncarnation(), request.getGrantedElsewhere());
      verdict = admitted ? AdmissionAnswer.Verdict.ADMITTED : AdmissionAnswer.Verdict.OVER_QUOTA;
    }
    AdmissionAnswer answer =
        AdmissionAnswer.newBuilder().setId(request.getId()).setVerdict(verdict).build();
    datagrams.send(senderAddress, PeerDatagram.newBuilder().setAdmissionAnswer(answer).build());
  }

  private void receiveRegionUse(RegionUse use, Transport datagrams) {
    if (use.getHandedOn()) {
      regionReports.receive(use);
      return;
    }
    Map<Member, RegionUse.Builder> byCoordinator = new HashMap<>();
    for (WorkspaceDemand demand : use.getDemandsList()) {
      Member coordinator = coordinators.coordinator(demand.getWorkspace());
      if (coordinator == null) {
        continue;
      }
      if (coordinator.incarnation().equals(fleet.incarnation())) {
        regionReports.receive(use.getRegion(), demand);
      } else {
        byCoordinator
            .computeIfAbsent(coordinator, member -> RegionUse.newBuilder())
            .addDemands(demand);
      }
    }
    byCoordinator.forEach(
        (coordinator, message) -> {
          message.setRegion(use.getRegion()).setHandedOn(true);
          datagrams.send(
              coordinator.address(), PeerDatagram.newBuilder().setRegionUse(message).build());
        });
  }

  /**
   * Allocates the rates anew; called a few times per second.
   *
   * @param workspaces all workspaces
   */
  public synchronized void allocate(Collection<SteeringWorkspace> workspaces) {
    if (fleet.isSmallFleet()) {
      localTable.allocate(workspaces, 1);
      return;
    }
    List<Member> members = fleet.regionMembers();
    coordinators.elect(members);
    double aliveFraction =
        smoothedAliveFraction.update(fleet.aliveFractionOfRegion(), clock.nanoTime());
    double fraction = Math.min(aliveFraction, fleet.windowCoverageOfRegion());
    recordCoordinatorUsages();
    Set<String> ownNames = new HashSet<>();
    List<SteeringWorkspace> ownWorkspaces = new ArrayList<>();
    for (SteeringWorkspace workspace : workspaces) {
      Member coordinator = coordinators.coordinator(workspace.name());
      if (coordinator != null && coordinator.incarnation().equals(fleet.incarnation())) {
        ownNames.add(workspace.name());
        ownWorkspaces.add(workspace);
        if (!coordinatedWorkspaces.contains(workspace.name())) {
          inherit(workspace.name());
        }
      }
    }
    coordinatorTable.allocate(ownWorkspaces, fraction);
    coordinatedWorkspaces = Set.copyOf(ownNames);
  }

  private void recordCoordinatorUsages() {
    long now = clock.nanoTime();
    for (HostBeat heartbeat : fleet.live()) {
      if (!heartbeat.getRegion().equals(fleet.region())) {
        continue;
      }
      for (WorkspaceDemand demand : heartbeat.getDemandsList()) {
        coordinatorUsages.put(
            demand.getWorkspace(),
            new CoordinatorUsage(heartbeat.getIncarnation(), demand.getAdmitted(), now));
      }
    }
  }

  private void inherit(String workspace) {
    CoordinatorUsage earlier = coordinatorUsages.get(workspace);
    if (earlier != null && !earlier.incarnation.equals(fleet.incarnation())) {
      long detectionNanos = TimeUnit.MILLISECONDS.toNanos(PARTITION_DETECTION_MILLIS);
      coordinatorTable.inherit(workspace, earlier.admitted, earlier.atNanos + detectionNanos);
    }
  }

  /** Returns the time between two calls of {@link #sendReports}, in milliseconds. */
  public static long reportIntervalMillis() {
    return RegionReports.REPORT_INTERVAL_MILLIS;
  }

  /**
   * Reports to the coordinators of other regions what this host admits as a coordinator.
   *
   * <p>Sends nothing in a small fleet, without a transport, and if this host coordinates no
   * workspace.
   */
  public void sendReports() {
    Transport datagrams = transport;
    Set<String> own = coordinatedWorkspaces;
    if (datagrams == null || own.isEmpty() || fleet.isSmallFleet()) {
      return;
    }
    Map<Integer, RegionUse.Builder> byGroup = new HashMap<>();
    Set<String> idle = new HashSet<>(own);
    coordinatorTable.forEachUsage(
        (name, perSecond, admitted) -> {
          if (idle.remove(name)) {
            groupReport(byGroup, name).addDemands(demand(name, perSecond, admitted));
          }
        });
    // Workspaces without demand are reported too, because the coordinators of the other regions
    // would otherwise reserve an even share for this region.
    idle.forEach(name -> groupReport(byGroup, name).addDemands(demand(name, 0, 0)));
    for (String region : fleet.regions()) {
      if (!region.equals(fleet.region())) {
        sendGroupReports(datagrams, byGroup, fleet.hostsIn(region));
      }
    }
  }

  private RegionUse.Builder groupReport(Map<Integer, RegionUse.Builder> byGroup, String workspace) {
    return byGroup.computeIfAbsent(
        QuotaCoordinators.group(workspace),
        group -> RegionUse.newBuilder().setRegion(fleet.region()));
  }

  private static void sendGroupReports(
      Transport datagrams, Map<Integer, RegionUse.Builder> byGroup, Map<String, String> addresses) {
    byGroup.forEach(
        (group, report) -> {
          String address = QuotaCoordinators.probableAddress(group, addresses);
          if (address != null) {
            datagrams.send(address, PeerDatagram.newBuilder().setRegionUse(report).build());
          }
        });
  }

  /**
   * Adds this host's demand and admissions to a heartbeat: in a small fleet of all workspaces, in a
   * large one of those that this host coordinates, for a host that may become their coordinator.
   *
   * @param heartbeat the heartbeat to be sent next
   */
  public void writeDemands(HostBeat.Builder heartbeat) {
    if (!fleet.isSmallFleet()) {
      Set<String> own = coordinatedWorkspaces;
      coordinatorTable.forEachUsage(
          (name, perSecond, admitted) -> {
            if (own.contains(name)) {
              heartbeat.addDemands(demand(name, perSecond, admitted));
            }
          });
      return;
    }
    localTable.forEachUsage(
        (name, perSecond, admitted) ->
            heartbeat.addDemands(demand(name, perSecond, grantedElsewhere(name, NO_COORDINATOR))));
  }

  private static WorkspaceDemand demand(String workspace, double perSecond, int admitted) {
    return WorkspaceDemand.newBuilder()
        .setWorkspace(workspace)
        .setPerSecond((float) perSecond)
        .setAdmitted(admitted)
        .build();
  }
}
