package verbenahatch.steering.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Hashing;
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
   * Fraction of a region's hosts that may be lost at once without the assumption that other regions
   * lost as many, so that restarts of single hosts reserve no more than these hosts' shares.
   */
  private static final double TOLERATED_LOSS = 0.1;

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
    /**
     * The known admissions are within the rate, but not with what is reserved for hosts and regions
     * that are new or not heard from.
     */
    UNKNOWN_USAGE(false),
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
  private final RecentMaximum recentlyKnownFraction =
      new RecentMaximum(RegionReports.propagationMillis());

  /** Rounds shares of less than one request; differs among processes, so that the sum is kept. */
  private final double rounding;

  private final AtomicLong ids = new AtomicLong();
  private final Map<Long, PendingRequest> pending = new ConcurrentHashMap<>();

  private final CoordinatorHistories histories;

  /** What this process was granted, by workspace and by the incarnation that granted it. */
  private final Map<String, Map<String, SlidingWindowCounter>> granted = new ConcurrentHashMap<>();

  /** The monotonic time in nanoseconds since which the coordinator of a workspace is timed out. */
  private final Map<String, Long> timedOutSince = new ConcurrentHashMap<>();

  private final RegionReportSender regionReportSender;
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
    rounding = (Hashing.mix(Hashing.of(fleet.incarnation())) >>> 11) * 0x1.0p-53;
    histories = new CoordinatorHistories(clock, fleet.region(), bounds.quotaWindowMillis());
    smoothedAliveFraction =
        new SmoothedAliveFraction(bounds.quotaWindowMillis(), 0, clock.nanoTime());
    regionReports = new RegionReports(clock, fleet, bounds.quotaWindowMillis());
    localTable =
        new QuotaTable(
            clock, bounds, new HeartbeatReports(clock, fleet, bounds.quotaWindowMillis()));
    coordinatorTable = new QuotaTable(clock, bounds, regionReports);
    regionReportSender = new RegionReportSender(fleet, coordinatorTable);
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
      callback.accept(localTable.admit(workspace));
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
      Decision decision =
          coordinatorTable.admitFor(workspace.name(), coordinator.incarnation(), elsewhere);
      callback.accept(recordDecision(workspace.name(), coordinator, decision));
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
    datagrams.runAfter(
        TIMEOUT_MILLIS, () -> finish(request.id, AdmissionAnswer.Verdict.NOT_HOME_VALUE));
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

  private Decision recordDecision(String workspace, Member coordinator, Decision decision) {
    if (!decision.isAdmitted()) {
      return decision;
    }
    granted
        .computeIfAbsent(workspace, name -> new ConcurrentHashMap<>())
        .computeIfAbsent(
            coordinator.incarnation(),
            incarnation -> new SlidingWindowCounter(bounds.quotaWindowMillis()))
        .add(clock.nanoTime());
    return Decision.ADMITTED;
  }

  private Decision admitUncoordinated(SteeringWorkspace workspace) {
    int granted = grantedByCoordinators(workspace.name(), NO_COORDINATOR);
    long timedOutNanos =
        timedOutSince.computeIfAbsent(
            workspace.name(), name -> clock.nanoTime() - silentNanos(name));
    boolean admitted =
        coordinatorTable.admitUncoordinated(
            workspace, fleet.count(), granted, timedOutNanos, rounding);
    return admitted ? Decision.ADMITTED_ALONE : Decision.OVER_EVEN_PART;
  }

  /** Returns the time since the last heartbeat of the coordinator of a workspace. */
  private long silentNanos(String workspace) {
    Member coordinator = coordinators.coordinator(workspace);
    return coordinator == null
        ? 0
        : TimeUnit.MILLISECONDS.toNanos(fleet.silentMillis(coordinator.host()));
  }

  /**
   * Returns the requests granted to this process within the window by others than a coordinator.
   */
  private int grantedElsewhere(String workspace, String coordinatorIncarnation) {
    return localTable.admittedHere(workspace)
        + coordinatorTable.admittedUncoordinated(workspace)
        + grantedByCoordinators(workspace, coordinatorIncarnation);
  }

  private int grantedByCoordinators(String workspace, String coordinatorIncarnation) {
    long now = clock.nanoTime();
    int sum = 0;
    for (Map.Entry<String, SlidingWindowCounter> entry :
        granted.getOrDefault(workspace, Map.of()).entrySet()) {
      if (!entry.getKey().equals(coordinatorIncarnation)) {
        sum += entry.getValue().count(now);
      }
    }
    return sum;
  }

  private void finish(long id, int verdict) {
    PendingRequest request = pending.remove(id);
    if (request == null) {
      return;
    }
    String workspace = request.workspace.name();
    @Nullable Decision decision =
        switch (verdict) {
          case AdmissionAnswer.Verdict.ADMITTED_VALUE -> Decision.ADMITTED;
          case AdmissionAnswer.Verdict.OVER_QUOTA_VALUE -> Decision.OVER_QUOTA;
          case AdmissionAnswer.Verdict.UNKNOWN_USAGE_VALUE -> Decision.UNKNOWN_USAGE;
          default -> null;
        };
    if (decision == null) {
      request.callback.accept(admitUncoordinated(request.workspace));
      return;
    }
    timedOutSince.remove(workspace);
    request.callback.accept(recordDecision(workspace, request.coordinator, decision));
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
          finish(
              datagram.getAdmissionAnswer().getId(),
              datagram.getAdmissionAnswer().getVerdictValue());
      case REGION_USE -> receiveRegionUse(datagram.getRegionUse(), datagrams);
      default -> {}
    }
  }

  private void respond(AdmissionRequest request, String senderAddress, Transport datagrams) {
    int verdict = AdmissionAnswer.Verdict.NOT_HOME_VALUE;
    if (coordinatedWorkspaces.contains(request.getWorkspace())) {
      verdict =
          switch (coordinatorTable.admitFor(
              request.getWorkspace(), request.getIncarnation(), request.getGrantedElsewhere())) {
            case ADMITTED -> AdmissionAnswer.Verdict.ADMITTED_VALUE;
            case UNKNOWN_USAGE -> AdmissionAnswer.Verdict.UNKNOWN_USAGE_VALUE;
            default -> AdmissionAnswer.Verdict.OVER_QUOTA_VALUE;
          };
    }
    AdmissionAnswer answer =
        AdmissionAnswer.newBuilder().setId(request.getId()).setVerdictValue(verdict).build();
    datagrams.send(senderAddress, PeerDatagram.newBuilder().setAdmissionAnswer(answer).build());
  }

  private void receiveRegionUse(RegionUse use, Transport datagrams) {
    regionReports.receive(use);
    if (use.getHandedOn()) {
      return;
    }
    Map<Member, RegionUse.Builder> byCoordinator = new HashMap<>();
    for (WorkspaceDemand demand : use.getDemandsList()) {
      Member coordinator = coordinators.coordinator(demand.getWorkspace());
      if (coordinator != null && !coordinator.incarnation().equals(fleet.incarnation())) {
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
      localTable.allocate(workspaces, 0, Set.of());
      return;
    }
    List<Member> members = fleet.regionMembers();
    coordinators.elect(members);
    double aliveFraction =
        smoothedAliveFraction.update(fleet.aliveFractionOfRegion(), clock.nanoTime());
    double knownFraction = Math.min(aliveFraction, fleet.windowCoverageOfRegion());
    // Hosts of other regions are covered by the reports of their coordinators, except for losses so
    // recent that they are not reported yet: a network partition may separate all regions alike.
    double lost = recentlyKnownFraction.update(knownFraction, clock.nanoTime()) - knownFraction;
    double unreported = Math.max(0, lost - TOLERATED_LOSS) * (1 - fleet.fractionInRegion());
    double reservedFraction = (1 - knownFraction) * fleet.fractionInRegion() + unreported;
    histories.update(fleet.live());
    Set<String> ownNames = new HashSet<>();
    List<SteeringWorkspace> ownWorkspaces = new ArrayList<>();
    for (SteeringWorkspace workspace : workspaces) {
      Member coordinator = coordinators.coordinator(workspace.name());
      if (coordinator != null && coordinator.incarnation().equals(fleet.incarnation())) {
        ownNames.add(workspace.name());
        ownWorkspaces.add(workspace);
        if (!coordinatedWorkspaces.contains(workspace.name())) {
          coordinatorTable.inherit(workspace.name(), histories.of(workspace.name()));
        }
      }
    }
    coordinatorTable.allocate(ownWorkspaces, reservedFraction, fleet.liveIncarnations());
    coordinatedWorkspaces = Set.copyOf(ownNames);
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
    regionReportSender.send(own, datagrams);
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
          (name, perSecond, admitted, charged) -> {
            if (own.contains(name)) {
              heartbeat.addDemands(RegionReportSender.demand(name, perSecond, admitted));
            }
          });
      return;
    }
    localTable.forEachUsage(
        (name, perSecond, admitted, charged) ->
            heartbeat.addDemands(
                RegionReportSender.demand(
                    name, perSecond, grantedElsewhere(name, NO_COORDINATOR))));
  }
}
