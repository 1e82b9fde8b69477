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
 * Holds the targets of the document in force and chooses among them.
 *
 * <p>A document replaces the table as a whole; readers take no lock. What is known of a target
 * survives a new document.
 */
final class Targets {

  private final GatewayContext context;
  private final String ownRegion;
  private final TargetChooser chooser;
  private final OutlierEjector ejector = new OutlierEjector();
  private volatile Table table = new Table(Map.of(), Map.of(), Map.of());

  Targets(GatewayContext context) {
    this(context, new PowerOfTwoChooser(new ThreadLocalSource()));
  }

  Targets(GatewayContext context, TargetChooser chooser) {
    this.context = context;
    this.ownRegion = context.settings().region();
    this.chooser = chooser;
    context.fleet().onChange(this::divideSlots);
  }

  /** Draws from the generator of the calling thread. */
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
    long now = context.clock().nanoTime();
    boolean first = table.byId().isEmpty();
    Map<String, TargetState> byId = new HashMap<>();
    Map<String, ServiceTargets> services = new HashMap<>();
    Map<String, Double> delays = delays(document);
    for (Service service : document.services()) {
      List<TargetState> states = new ArrayList<>();
      for (Target target : service.targets()) {
        TargetState state = table.byId().get(target.id());
        if (state == null || !isSameProcess(state.target(), target)) {
          state = new TargetState(target, now);
          // Targets of the first document ran before this host and are warm.
          if (first) {
            state.skipSlowStart();
          }
        }
        state.update(target);
        byId.put(target.id(), state);
        states.add(state);
      }
      ServiceTargets old = table.services().get(service.name());
      ServiceTargets.Spread spread =
          old == null ? new ServiceTargets.Spread(delays.keySet(), now) : old.spread();
      services.put(service.name(), new ServiceTargets(service.name(), states, spread));
    }
    table = new Table(Map.copyOf(byId), Map.copyOf(services), delays);
    divideSlots(context.fleet().members());
  }

  /**
   * Divides the slots of each region among its hosts.
   *
   * @param members the members; a region without a host divides among all
   */
  synchronized void divideSlots(List<Member> members) {
    for (ServiceTargets service : table.services().values()) {
      for (List<TargetState> states : service.groups()) {
        String region = states.get(0).target().region();
        List<String> hosts = hostsFor(region, members);
        SlotQuota.assign(states, hosts.indexOf(context.fleet().self().host()), hosts.size());
      }
    }
  }

  private static List<String> hostsFor(String region, List<Member> members) {
    List<String> near = new ArrayList<>();
    List<String> all = new ArrayList<>();
    for (Member member : members) {
      if (!member.leaving()) {
        all.add(member.host());
        if (member.region().equals(region)) {
          near.add(member.host());
        }
      }
    }
    List<String> hosts = near.isEmpty() ? all : near;
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
   * Orders the regions for one request.
   *
   * @return regions where the version has targets that may get work, best first
   */
  List<String> order(ServiceTargets service, String version) {
    long now = context.clock().nanoTime();
    Candidate own = null;
    List<Candidate> others = new ArrayList<>();
    for (Map.Entry<String, Double> delay : table.delays().entrySet()) {
      Candidate candidate = candidate(service, version, delay.getKey(), delay.getValue(), now);
      if (delay.getKey().equals(ownRegion)) {
        own = candidate;
      } else {
        others.add(candidate);
      }
    }
    if (own == null) {
      own = new Candidate(ownRegion, -1, 0, 0, 1);
    }
    double draw = ThreadLocalRandom.current().nextDouble();
    return service.regions().order(own, others, draw, now);
  }

  private Candidate candidate(
      ServiceTargets service, String version, String region, double delay, long now) {
    int capacity = 0;
    double used = 0;
    Drains drains = context.config().drains();
    for (TargetState state : service.in(region, version)) {
      if (!isDraining(state.target(), drains) && !state.isEjected(now)) {
        int slots = state.target().slots();
        capacity += slots;
        used += Math.min(1, state.score(now)) * slots;
      }
    }
    double headroom = capacity == 0 ? 0 : context.limits().linkHeadroom(ownRegion, region);
    return new Candidate(region, delay, capacity, capacity == 0 ? 1 : used / capacity, headroom);
  }

  /**
   * Takes a place in a region.
   *
   * @param excluded ids of targets that were tried already
   * @return the target, null if none has a place or the pace of shifts allows no more
   */
  @Nullable TargetState acquire(
      ServiceTargets service, String version, String region, Set<String> excluded) {
    long now = context.clock().nanoTime();
    List<TargetState> states = service.in(region, version);
    if (states.isEmpty() || !isPaceKept(service, region, states, now)) {
      return null;
    }
    Drains drains = context.config().drains();
    int hosts = Math.max(1, context.fleet().members().size());
    return chooser.acquire(
        states,
        state -> !isDraining(state.target(), drains) && !excluded.contains(state.target().id()),
        slots -> Math.min(slots, Math.max(1, connections(states) / hosts)),
        now);
  }

  private static int connections(List<TargetState> states) {
    return states.get(0).target().connections();
  }

  // Work leaves a region step by step; a service that is elsewhere only is not shifted.
  private boolean isPaceKept(
      ServiceTargets service, String region, List<TargetState> states, long now) {
    if (region.equals(ownRegion) || !service.isIn(ownRegion)) {
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
    return service.pacer(region, now).allows(inFlight, capacity, Math.max(1, hosts), now);
  }

  /** Tells whether any target of a version may get work. */
  boolean hasTarget(ServiceTargets service, String version) {
    Drains drains = context.config().drains();
    for (TargetState state : service.all()) {
      if (state.target().version().equals(version) && !isDraining(state.target(), drains)) {
        return true;
      }
    }
    return false;
  }

  static boolean isDraining(Target target, Drains drains) {
    return drains.targets().contains(target.id()) || drains.zones().contains(target.zone());
  }

  /** Records the outcome of a request that reached a target, or failed to. */
  void outcome(ServiceTargets service, TargetState state, boolean failed) {
    state.recordOutcome(failed);
    if (!failed) {
      ejector.resetIfRecovered(state);
    } else if (ejector.ejectIfOutlier(state, service.all(), context.clock().nanoTime())) {
      context.events().log(GatewayEvent.TARGET_EJECTED, state.target().id(), service.name());
    }
  }
}
