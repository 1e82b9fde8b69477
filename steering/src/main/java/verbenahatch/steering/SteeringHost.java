package verbenahatch.steering;

import static java.util.Objects.requireNonNull;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Kernel;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.PlatformStore;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.model.WireProtocol;

/** Runs the components of one steering host in this process. */
public final class SteeringHost implements AutoCloseable {

  /** Period of the allocation of quotas and of the checks on peers and releases. */
  private static final Duration TICK = Duration.ofMillis(250);

  /** Time for requests that arrived while the port was closed to get their refusal. */
  private static final long LAST_REFUSALS_MILLIS = 100;

  /** Time for callers to close their ends, so that no unread bytes reset a connection. */
  private static final long LINGER_MILLIS = 50;

  private static final int INCARNATION_BYTES = 6;

  private final Kernel kernel;
  private final SteeringSettings settings;
  private final SteeringState state;
  private final EntryServer server;
  private final PeerLink peers;
  private final Thread maintenance;
  private volatile long lastTickNanos;
  private volatile boolean closed;

  /**
   * Starts a host.
   *
   * @param settings the validated settings
   * @param store the platform's store
   * @param wire the fields and messages of the platform
   * @param clock the clock of the process
   * @param events the log of the process
   * @throws Exception if an address cannot be used
   */
  public SteeringHost(
      SteeringSettings settings, PlatformStore store, WireProtocol wire, Clock clock, Events events)
      throws Exception {
    this(settings, store, wire, clock, events, new StopSignal(settings.bounds().stopMillis()));
  }

  /**
   * Starts a host whose stop may be requested before this constructor has ended.
   *
   * @param settings the validated settings
   * @param store the platform's store
   * @param wire the fields and messages of the platform
   * @param clock the clock of the process
   * @param events the log of the process
   * @param stopSignal from whose arrival on the host refuses what may not end in time
   * @throws Exception if an address cannot be used
   */
  public SteeringHost(
      SteeringSettings settings,
      PlatformStore store,
      WireProtocol wire,
      Clock clock,
      Events events,
      StopSignal stopSignal)
      throws Exception {
    this.settings = settings;
    byte[] random = new byte[INCARNATION_BYTES];
    new SecureRandom().nextBytes(random);
    String incarnation = HexFormat.of().formatHex(random);
    kernel = new Kernel(clock, events);
    state = new SteeringState(clock, events, settings, store, incarnation, stopSignal);
    state.start();
    server = new EntryServer(state, wire, kernel);
    peers = new PeerLink(state, settings);
    kernel.state().register("steering", this::view);
    lastTickNanos = clock.nanoTime();
    kernel.repeat("steering", TICK, this::tick);
    maintenance = new Thread(this::maintain, "maintenance");
    maintenance.setDaemon(true);
    maintenance.start();
    events.log(
        SteeringEvent.STARTED, settings.host(), incarnation, settings.zone(), settings.region());
  }

  private void tick() {
    lastTickNanos = state.clock.nanoTime();
    state.tick();
    server.applyLimits();
  }

  private void maintain() {
    while (!closed) {
      try {
        state.maintain();
        TimeUnit.MILLISECONDS.sleep(TICK.toMillis());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException | Error e) {
        state.events.log(SteeringEvent.TASK_FAILED, "maintenance", e.toString());
      }
    }
  }

  private Map<String, Object> view() {
    Map<String, Object> view = new LinkedHashMap<>();
    DocumentIndex document = state.document();
    view.put("document", document == null ? 0 : document.document.version());
    view.put("ready", state.isReady());
    view.put("leaving", state.isLeaving());
    view.put("storeReachable", state.storeReachable());
    view.put("storeEra", state.eras.current());
    view.put("targets", state.targets.size());
    view.put("evacuated", state.targets.evacuated());
    view.put("releases", state.releases.view());
    view.put("hosts", state.hosts.live().stream().map(HostBeat::getHost).sorted().toList());
    view.put("registeredHosts", state.hosts.count());
    view.put("running", server.runningRequests());
    return view;
  }

  /**
   * Applies the settings that may change while the process runs: the seeds.
   *
   * @param changed the validated settings
   */
  public void reload(SteeringSettings changed) {
    peers.useSeeds(changed.seeds());
  }

  /** Stops gracefully like {@link #stop} with the current time. */
  @Override
  public void close() {
    stop(state.clock.nanoTime());
  }

  /**
   * Stops gracefully: removes this host from the directory, serves until cached answers of the
   * directory expire, waits for requests in flight, and closes. Does nothing if already closed.
   *
   * <p>Nothing here waits for the store, which may be silent: the thread for maintenance removes
   * this host's record. A step that fails is logged, and the others are still done; an interrupt
   * does not shorten the stop.
   *
   * @param signalNanos when the stop was requested, in ns of the clock of the process
   */
  public synchronized void stop(long signalNanos) {
    if (closed) {
      return;
    }
    state.stopSignal.arrive(signalNanos);
    StopPlan plan = requireNonNull(state.stopSignal.plan());
    StopSteps steps = new StopSteps(state.clock, state.events, signalNanos);
    steps.log(
        SteeringEvent.STOPPING,
        settings.host(),
        server.runningRequests(),
        steps.elapsedMillis(),
        TimeUnit.NANOSECONDS.toMillis(state.clock.nanoTime() - lastTickNanos));
    steps.run("leave", state::leave);
    steps.run("heartbeat", peers::sendHeartbeatNow);
    steps.waitUntil("serve", () -> plan.millisUntilRefusal(state.clock.nanoTime()), () -> false);
    steps.waitUntil("wait", () -> plan.millisUntilEnd(state.clock.nanoTime()), server::isIdle);
    steps.run("close-port", server::stopAccepting);
    steps.waitUntil("last-refusals", LAST_REFUSALS_MILLIS, () -> false);
    long closeMillis = Math.max(LAST_REFUSALS_MILLIS, plan.millisUntilEnd(state.clock.nanoTime()));
    steps.waitUntil(
        "close-connections", closeMillis, () -> server.closeIdleConnections() && server.isIdle());
    steps.waitUntil("linger", LINGER_MILLIS, server::hasNoConnections);
    closed = true;
    steps.run("log-cut-requests", server::logCutRequests);
    steps.log(SteeringEvent.STOPPED, settings.host(), server.runningRequests());
    maintenance.interrupt();
    steps.run("close-peers", peers::close);
    steps.run("close-server", server::close);
    steps.run("close-state", state::close);
    steps.run("close-kernel", kernel::close);
    steps.restoreInterrupt();
  }
}
