package verbenahatch.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Drains;
import verbenahatch.fleet.Member;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Service;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.routing.OutlierEjector;
import verbenahatch.routing.PowerOfTwoChooser;
import verbenahatch.routing.RegionChooser.Candidate;
import verbenahatch.routing.SlotQuota;
import verbenahatch.routing.TargetChooser;
import verbenahatch.routing.TargetState;

/**
 * The targets of the document in force, and the choice of regions and targets for requests.
 *
 * <p>A new document replaces the table as a whole; readers take no lock. The state of a target is
 * kept when the document changes, unless the address, port or version of the target changes.
 */
final class Targets {

  private final GatewayContext context;
  private final String ownRegion;
  private final TargetChooser targetChooser;
  private final OutlierEjector ejector = new OutlierEjector();
  private volatile Table table = new Table(Map.of(), Map.of(), Map.of());

  Targets(GatewayContext context) {
    this(context, new PowerOfTwoChooser(new ThreadLocalSource()));
  }

  Targets(GatewayContext context, TargetChooser targetChooser) {
    this.context = context;
    this.ownRegion = context.settings().region();
    this.targetChooser = targetChooser;
    context.fleet().onChange(this::assignSlots);
  }

  /** Generator that delegates to that of the calling thread. */
  private static final class ThreadLocalSource implements java.util.random.RandomGenerator {
    @Override
    public long nextLong() {
      return ThreadLocalRandom.current().nextLong();
    }
  }

  private record Table(
      Map<String, TargetState> byId,
      Map<String, ServiceTargets> services,
      Map<String, Double> delays) {}

  synchronized void update(EnvironmentDocument document) {
    long nowNanos = context.clock().nanoTime();
    boolean first = table.byId().isEmpty();
    Map<String, TargetState> byId = new HashMap<>();
    Map<String, ServiceTargets> services = new HashMap<>();
    Map<String, Double> delays = delays(document);
    for (Service service : document.services()) {
      List<TargetState> states = new ArrayList<>();
      for (Target target : service.targets()) {
        TargetState state = table.byId().get(target.id());
        if (state == null || !isSameProcess(state.target(), target)) {
          state = new TargetState(target, nowNanos);
          // Targets of the first document ran before this host started and are already warm.
          if (first) {
            state.skipSlowStart();
          }
        }
        state.update(target);
        byId.put(target.id(), state);
        states.add(state);
      }
      ServiceTargets previous = table.services().get(service.name());
      ServiceTargets.BalancingState balancing =
          previous == null
              ? new ServiceTargets.BalancingState(delays.keySet(), nowNanos)
              : previous.balancing();
      services.put(service.name(), new ServiceTargets(service.name(), states, balancing));
    }
    table = new Table(Map.copyOf(byId), Map.copyOf(services), delays);
    assignSlots(context.fleet().members());
  }

  /**
   * Assigns the slots of the targets in each region to the hosts of that region.
   *
   * @param members the members of the fleet; the slots of a region without a host are divided among
   *     all hosts
   */
  synchronized void assignSlots(List<Member> members) {
    for (ServiceTargets service : table.services().values()) {
      for (List<TargetState> states : service.regionVersionGroups()) {
        String region = states.get(0).target().region();
        List<String> hosts = hostsFor(region, members);
        SlotQuota.assign(states, hosts.indexOf(context.fleet().self().host()), hosts.size());
      }
    }
  }

  private static List<String> hostsFor(String region, List<Member> members) {
    List<String> regionHosts = new ArrayList<>();
    List<String> allHosts = new ArrayList<>();
    for (Member member : members) {
      if (!member.leaving()) {
        allHosts.add(member.host());
        if (member.region().equals(region)) {
          regionHosts.add(member.host());
        }
      }
    }
    List<String> hosts = regionHosts.isEmpty() ? allHosts : regionHosts;
    hosts.sort(Comparator.naturalOrder());
    return hosts;
  }

  private static boolean isSameProcess(Target a, Target b) {
    return a.address().equals(b.address())
        && a.port() == b.port()
        && a.version().equals(b.version());
  }

  private Map<String, Double> delays(EnvironmentDocument document) {
    Map<String, Double> delays = new LinkedHashMap<>();
    for (Region region : document.regions()) {
      delays.put(region.name(), Double.MAX_VALUE);
    }
    for (Link link : document.links()) {
      if (link.from().equals(ownRegion)) {
        delays.put(link.to(), link.oneWayMillis());
      }
    }
    delays.put(ownRegion, -1.0);
    return delays;
  }

  @Nullable ServiceTargets service(String name) {
    return table.services().get(name);
  }

  Iterable<ServiceTargets> services() {
    return table.services().values();
  }

  /**
   * Returns the regions in the order of preference for one request.
   *
   * @return regions where the version has targets that may get requests, best first
   */
  List<String> orderRegions(ServiceTargets service, String version) {
    long nowNanos = context.clock().nanoTime();
    Candidate ownCandidate = null;
    List<Candidate> others = new ArrayList<>();
    for (Map.Entry<String, Double> delay : table.delays().entrySet()) {
      Candidate candidate =
          regionCandidate(service, version, delay.getKey(), delay.getValue(), nowNanos);
      if (delay.getKey().equals(ownRegion)) {
        ownCandidate = candidate;
      } else {
        others.add(candidate);
      }
    }
    if (ownCandidate == null) {
      ownCandidate = new Candidate(ownRegion, -1, 0, 0, 1);
    }
    double draw = ThreadLocalRandom.current().nextDouble();
    return service.regionChooser().order(ownCandidate, others, draw, nowNanos);
  }

  private Candidate regionCandidate(
      ServiceTargets service, String version, String region, double delay, long nowNanos) {
    int capacity = 0;
    double usedSlots = 0;
    Drains drains = context.config().drains();
    for (TargetState state : service.targetsIn(region, version)) {
      if (!isDraining(state.target(), drains) && !state.isEjected(nowNanos)) {
        int slots = state.target().slots();
        capacity += slots;
        usedSlots += Math.min(1, state.score(nowNanos)) * slots;
      }
    }
    double headroom = capacity == 0 ? 0 : context.limits().linkHeadroom(ownRegion, region);
    return new Candidate(
        region, delay, capacity, capacity == 0 ? 1 : usedSlots / capacity, headroom);
  }

  /**
   * Acquires a slot at a target in a region.
   *
   * @param excludedTargets ids of targets that earlier attempts of the request used
   * @return the target, null if none has a free slot or the pacing of shifts allows no more
   *     requests
   */
  @Nullable TargetState acquire(
      ServiceTargets service, String version, String region, Set<String> excludedTargets) {
    long nowNanos = context.clock().nanoTime();
    List<TargetState> states = service.targetsIn(region, version);
    if (states.isEmpty() || !isShiftAllowed(service, region, states, nowNanos)) {
      return null;
    }
    Drains drains = context.config().drains();
    int hosts = Math.max(1, context.fleet().members().size());
    return targetChooser.acquire(
        states,
        state ->
            !isDraining(state.target(), drains) && !excludedTargets.contains(state.target().id()),
        slots -> Math.min(slots, Math.max(1, connections(states) / hosts)),
        nowNanos);
  }

  private static int connections(List<TargetState> states) {
    return states.get(0).target().connections();
  }

  // Requests are shifted to another region gradually. A service without targets in the own region
  // is not shifted, so it is not paced.
  private boolean isShiftAllowed(
      ServiceTargets service, String region, List<TargetState> states, long nowNanos) {
    if (region.equals(ownRegion) || !service.hasTargetIn(ownRegion)) {
      return true;
    }
    int inFlight = 0;
    int capacity = 0;
    for (TargetState state : states) {
      inFlight += state.inFlight();
      capacity += state.target().slots();
    }
    int hosts = 0;
    for (var member : context.fleet().members()) {
      hosts += member.region().equals(region) ? 0 : 1;
    }
    return service.pacer(region, nowNanos).allows(inFlight, capacity, Math.max(1, hosts), nowNanos);
  }

  /** Returns whether any target of a version may get requests. */
  boolean hasTarget(ServiceTargets service, String version) {
    Drains drains = context.config().drains();
    for (TargetState state : service.allTargets()) {
      if (state.target().version().equals(version) && !isDraining(state.target(), drains)) {
        return true;
      }
    }
    return false;
  }

  static boolean isDraining(Target target, Drains drains) {
    return drains.targets().contains(target.id()) || drains.zones().contains(target.zone());
  }

  /**
   * Records the outcome of a request that reached a target or failed to, and ejects the target if
   * it is an outlier.
   */
  void recordTargetOutcome(ServiceTargets service, TargetState state, boolean failed) {
    state.recordOutcome(failed);
    if (!failed) {
      ejector.resetIfRecovered(state);
    } else if (ejector.ejectIfOutlier(state, service.allTargets(), context.clock().nanoTime())) {
      context.events().log(GatewayEvent.TARGET_EJECTED, state.target().id(), service.name());
    }
  }
}
