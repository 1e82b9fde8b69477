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
 * Decides whether requests are inside the rates of their workspaces.
 *
 * <p>In a small fleet this host decides at once by its part of the rate. In a large one it asks the
 * home of the workspace in its region; if that one is silent, an even part of the rate is admitted
 * here. Thread-safe; nothing blocks.
 */
public final class Admission {

  /** Time after which a home is asked again, because a datagram may be lost; in milliseconds. */
  private static final long REPEAT_MILLIS = 100;

  /** Time after which a home counts as silent for a request; in milliseconds. */
  private static final long SILENT_MILLIS = 250;

  /**
   * Time for which grants of a home count beyond the window, in milliseconds. For so long a cut is
   * not noticed: the home on its other side goes on with the whole rate.
   */
  private static final long UNNOTICED_MILLIS = 2_500;

  /** Stands for no process, so that all grants are counted. */
  private static final String NO_HOME = "";

  /** Sends datagrams to other hosts and runs tasks later. */
  public interface Transport {

    /**
     * Sends a datagram, which may be lost.
     *
     * @param address an address for peers, IP number and port
     * @param datagram what to send
     */
    void send(String address, PeerDatagram datagram);

    /**
     * Runs a task later.
     *
     * @param millis the time until then
     * @param task the task
     */
    void runAfter(long millis, Runnable task);
  }

  /** Tells how a request was decided; used in metrics. */
  public enum Decision {
    /** The home of the workspace, or this host in a small fleet, admitted it. */
    ADMITTED(true),
    /** It is beyond the rate. */
    OVER_QUOTA(false),
    /** The home was silent, and an even part of the rate had room. */
    ADMITTED_ALONE(true),
    /** The home was silent, and an even part of the rate was used up. */
    OVER_EVEN_PART(false);

    private final boolean admitted;

    Decision(boolean admitted) {
      this.admitted = admitted;
    }

    /**
     * Tells whether the request may go on.
     *
     * @return true if it is inside the rate
     */
    public boolean isAdmitted() {
      return admitted;
    }
  }

  /** Holds a question to a home until it is answered. */
  private record Pending(
      SteeringWorkspace workspace, Member home, Consumer<Decision> then, long id) {}

  private final Clock clock;
  private final Bounds bounds;
  private final QuotaFleet fleet;
  private final QuotaTable table;
  private final QuotaTable homeTable;
  private final RegionReports reports;
  private final QuotaHomes homes = new QuotaHomes();
  private final HeardPart heardPart;
  private final AtomicLong ids = new AtomicLong();
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();

  /** Tells what a home of this region admitted when it was last heard. */
  private record HomeUse(String incarnation, int admitted, long atNanos) {}

  /** What homes of this region say of their workspaces; used by one thread at a time. */
  private final Map<String, HomeUse> homeUses = new HashMap<>();

  /** What this process was granted, by workspace and by the process that granted it. */
  private final Map<String, Map<String, SlidingCount>> granted = new ConcurrentHashMap<>();

  /** Since when the home of a workspace does not answer. */
  private final Map<String, Long> silentSince = new ConcurrentHashMap<>();

  private volatile Set<String> homeOf = Set.of();
  private volatile @Nullable Transport transport;

  /**
   * Creates the decisions of one host.
   *
   * @param clock the clock of the process
   * @param fleet the other hosts
   * @param bounds the terms of quotas
   */
  public Admission(Clock clock, QuotaFleet fleet, Bounds bounds) {
    this.clock = clock;
    this.bounds = bounds;
    this.fleet = fleet;
    heardPart = new HeardPart(bounds.quotaWindowMillis(), 0, clock.nanoTime());
    reports = new RegionReports(clock, fleet, bounds.quotaWindowMillis());
    table =
        new QuotaTable(clock, bounds, new BeatReports(clock, fleet, bounds.quotaWindowMillis()));
    homeTable = new QuotaTable(clock, bounds, reports);
  }

  /**
   * Sets how other hosts are reached.
   *
   * @param datagrams used from now on
   */
  public void connect(Transport datagrams) {
    transport = datagrams;
  }

  /**
   * Decides about a request.
   *
   * @param workspace the workspace whose key came with it
   * @param then takes the decision, on this thread or another one
   */
  public void admit(SteeringWorkspace workspace, Consumer<Decision> then) {
    if (workspace.ratePerSecond() <= 0) {
      then.accept(Decision.ADMITTED);
      return;
    }
    if (fleet.isSmallFleet()) {
      then.accept(table.admit(workspace) ? Decision.ADMITTED : Decision.OVER_QUOTA);
      return;
    }
    Member home = homes.home(workspace.name());
    Transport datagrams = transport;
    if (home == null || datagrams == null) {
      then.accept(alone(workspace));
      return;
    }
    if (home.incarnation().equals(fleet.incarnation())) {
      silentSince.remove(workspace.name());
      int elsewhere = grantedElsewhere(workspace.name(), home.incarnation());
      boolean admitted = homeTable.admitFor(workspace.name(), home.incarnation(), elsewhere);
      then.accept(decided(workspace.name(), home, admitted));
      return;
    }
    Pending question = new Pending(workspace, home, then, ids.incrementAndGet());
    pending.put(question.id, question);
    ask(question, datagrams);
    datagrams.runAfter(
        REPEAT_MILLIS,
        () -> {
          if (pending.containsKey(question.id)) {
            ask(question, datagrams);
          }
        });
    datagrams.runAfter(SILENT_MILLIS, () -> finish(question.id, AdmissionAnswer.Verdict.NOT_HOME));
  }

  private void ask(Pending question, Transport datagrams) {
    String name = question.workspace.name();
    AdmissionRequest request =
        AdmissionRequest.newBuilder()
            .setId(question.id)
            .setWorkspace(name)
            .setIncarnation(fleet.incarnation())
            .setGrantedElsewhere(grantedElsewhere(name, question.home.incarnation()))
            .build();
    datagrams.send(
        question.home.address(), PeerDatagram.newBuilder().setAdmissionRequest(request).build());
  }

  private Decision decided(String workspace, Member home, boolean admitted) {
    if (!admitted) {
      return Decision.OVER_QUOTA;
    }
    granted
        .computeIfAbsent(workspace, name -> new ConcurrentHashMap<>())
        .computeIfAbsent(
            home.incarnation(),
            process -> new SlidingCount(bounds.quotaWindowMillis() + UNNOTICED_MILLIS))
        .add(clock.nanoTime());
    return Decision.ADMITTED;
  }

  private Decision alone(SteeringWorkspace workspace) {
    double draw = ThreadLocalRandom.current().nextDouble();
    int granted = grantedElsewhere(workspace.name(), NO_HOME);
    long silent = silentSince.computeIfAbsent(workspace.name(), name -> clock.nanoTime());
    boolean admitted = homeTable.admitAlone(workspace, fleet.count(), granted, silent, draw);
    return admitted ? Decision.ADMITTED_ALONE : Decision.OVER_EVEN_PART;
  }

  /** Returns what this process was granted within the window by others than a home. */
  private int grantedElsewhere(String workspace, String home) {
    long now = clock.nanoTime();
    int sum = table.admittedHere(workspace) + homeTable.admittedAlone(workspace);
    for (Map.Entry<String, SlidingCount> entry :
        granted.getOrDefault(workspace, Map.of()).entrySet()) {
      if (!entry.getKey().equals(home)) {
        sum += entry.getValue().count(now);
      }
    }
    return sum;
  }

  private void finish(long id, AdmissionAnswer.Verdict verdict) {
    Pending question = pending.remove(id);
    if (question == null) {
      return;
    }
    switch (verdict) {
      case ADMITTED ->
          question.then.accept(decided(question.workspace.name(), question.home, true));
      case OVER_QUOTA -> question.then.accept(Decision.OVER_QUOTA);
      default -> question.then.accept(alone(question.workspace));
    }
    if (verdict == AdmissionAnswer.Verdict.ADMITTED
        || verdict == AdmissionAnswer.Verdict.OVER_QUOTA) {
      silentSince.remove(question.workspace.name());
    }
  }

  /**
   * Takes a datagram that concerns admissions.
   *
   * @param datagram any datagram; others are ignored
   * @param from the address of its sender
   */
  public void receive(PeerDatagram datagram, String from) {
    Transport datagrams = transport;
    if (datagrams == null) {
      return;
    }
    switch (datagram.getContentCase()) {
      case ADMISSION_REQUEST -> answer(datagram.getAdmissionRequest(), from, datagrams);
      case ADMISSION_ANSWER ->
          finish(datagram.getAdmissionAnswer().getId(), datagram.getAdmissionAnswer().getVerdict());
      case REGION_USE -> takeUse(datagram.getRegionUse(), datagrams);
      default -> {}
    }
  }

  private void answer(AdmissionRequest request, String from, Transport datagrams) {
    AdmissionAnswer.Verdict verdict = AdmissionAnswer.Verdict.NOT_HOME;
    if (homeOf.contains(request.getWorkspace())) {
      boolean admitted =
          homeTable.admitFor(
              request.getWorkspace(), request.getIncarnation(), request.getGrantedElsewhere());
      verdict = admitted ? AdmissionAnswer.Verdict.ADMITTED : AdmissionAnswer.Verdict.OVER_QUOTA;
    }
    AdmissionAnswer answer =
        AdmissionAnswer.newBuilder().setId(request.getId()).setVerdict(verdict).build();
    datagrams.send(from, PeerDatagram.newBuilder().setAdmissionAnswer(answer).build());
  }

  private void takeUse(RegionUse use, Transport datagrams) {
    if (use.getHandedOn()) {
      reports.receive(use);
      return;
    }
    Map<Member, RegionUse.Builder> byHome = new HashMap<>();
    for (WorkspaceDemand demand : use.getDemandsList()) {
      Member home = homes.home(demand.getWorkspace());
      if (home == null) {
        continue;
      }
      if (home.incarnation().equals(fleet.incarnation())) {
        reports.receive(use.getRegion(), demand);
      } else {
        byHome.computeIfAbsent(home, member -> RegionUse.newBuilder()).addDemands(demand);
      }
    }
    byHome.forEach(
        (home, message) -> {
          message.setRegion(use.getRegion()).setHandedOn(true);
          datagrams.send(home.address(), PeerDatagram.newBuilder().setRegionUse(message).build());
        });
  }

  /**
   * Divides the rates anew; called a few times a second.
   *
   * @param workspaces all workspaces
   */
  public synchronized void allocate(Collection<SteeringWorkspace> workspaces) {
    if (fleet.isSmallFleet()) {
      table.divide(workspaces, 1);
      return;
    }
    List<Member> members = fleet.regionMembers();
    homes.choose(members);
    double heard = heardPart.update(fleet.aliveFractionOfRegion(), clock.nanoTime());
    double part = Math.min(heard, fleet.windowCoverageOfRegion());
    noteHomeUses();
    Set<String> own = new HashSet<>();
    List<SteeringWorkspace> admittedHere = new ArrayList<>();
    for (SteeringWorkspace workspace : workspaces) {
      Member home = homes.home(workspace.name());
      if (home != null && home.incarnation().equals(fleet.incarnation())) {
        own.add(workspace.name());
        admittedHere.add(workspace);
        if (!homeOf.contains(workspace.name())) {
          inherit(workspace.name());
        }
      }
    }
    homeTable.divide(admittedHere, part);
    homeOf = Set.copyOf(own);
  }

  private void noteHomeUses() {
    long now = clock.nanoTime();
    for (HostBeat beat : fleet.live()) {
      if (!beat.getRegion().equals(fleet.region())) {
        continue;
      }
      for (WorkspaceDemand demand : beat.getDemandsList()) {
        homeUses.put(
            demand.getWorkspace(), new HomeUse(beat.getIncarnation(), demand.getAdmitted(), now));
      }
    }
  }

  private void inherit(String workspace) {
    HomeUse earlier = homeUses.get(workspace);
    if (earlier != null && !earlier.incarnation.equals(fleet.incarnation())) {
      long unnoticed = TimeUnit.MILLISECONDS.toNanos(UNNOTICED_MILLIS);
      homeTable.inherit(workspace, earlier.admitted, earlier.atNanos + unnoticed);
    }
  }

  /** Returns the time between two calls of {@link #sendReports}, in milliseconds. */
  public static long reportIntervalMillis() {
    return RegionReports.PERIOD_MILLIS;
  }

  /** Tells the homes of other regions what this host admits as a home. */
  public void sendReports() {
    Transport datagrams = transport;
    Set<String> own = homeOf;
    if (datagrams == null || own.isEmpty() || fleet.isSmallFleet()) {
      return;
    }
    Map<Integer, RegionUse.Builder> byGroup = new HashMap<>();
    Set<String> idle = new HashSet<>(own);
    homeTable.describe(
        (name, perSecond, admitted) -> {
          if (idle.remove(name)) {
            use(byGroup, name).addDemands(demand(name, perSecond, admitted));
          }
        });
    // A region without demand is heard all the same, or the others would leave it an even part.
    idle.forEach(name -> use(byGroup, name).addDemands(demand(name, 0, 0)));
    for (String region : fleet.regions()) {
      if (!region.equals(fleet.region())) {
        sendUse(datagrams, byGroup, fleet.hostsIn(region));
      }
    }
  }

  private RegionUse.Builder use(Map<Integer, RegionUse.Builder> byGroup, String workspace) {
    return byGroup.computeIfAbsent(
        QuotaHomes.group(workspace), group -> RegionUse.newBuilder().setRegion(fleet.region()));
  }

  private static void sendUse(
      Transport datagrams, Map<Integer, RegionUse.Builder> byGroup, Map<String, String> addresses) {
    byGroup.forEach(
        (group, use) -> {
          String address = QuotaHomes.guess(group, addresses);
          if (address != null) {
            datagrams.send(address, PeerDatagram.newBuilder().setRegionUse(use).build());
          }
        });
  }

  /**
   * Writes what hosts that hear this one need: in a small fleet all that it admits, in a large one
   * what it admits as a home, for the home that may come after it.
   *
   * @param beat the next beat
   */
  public void writeDemands(HostBeat.Builder beat) {
    if (!fleet.isSmallFleet()) {
      Set<String> own = homeOf;
      homeTable.describe(
          (name, perSecond, admitted) -> {
            if (own.contains(name)) {
              beat.addDemands(demand(name, perSecond, admitted));
            }
          });
      return;
    }
    table.describe(
        (name, perSecond, admitted) ->
            beat.addDemands(demand(name, perSecond, grantedElsewhere(name, NO_HOME))));
  }

  private static WorkspaceDemand demand(String workspace, double perSecond, int admitted) {
    return WorkspaceDemand.newBuilder()
        .setWorkspace(workspace)
        .setPerSecond((float) perSecond)
        .setAdmitted(admitted)
        .build();
  }
}
