package verbenahatch.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Runs one target with an endpoint for work and one for control. */
public final class TargetServer implements AutoCloseable {

  private static final int MAX_THREADS = 32;

  /** Load reports of this many milliseconds are kept for lagging reports. */
  private static final long REPORT_HISTORY_MILLIS = 60_000;

  private final Server server;
  private final ServerConnector work;
  private final ServerConnector control;
  private final TargetOptions options;
  private final RunLog log = new RunLog();
  private final Slots slots;
  private final long startNanos = System.nanoTime();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private volatile Behaviour behaviour;

  /**
   * Starts a target.
   *
   * @param options what it is
   * @param behaviour how it behaves first
   * @throws Exception if a port cannot be opened
   */
  public TargetServer(TargetOptions options, Behaviour behaviour) throws Exception {
    this.options = options;
    this.behaviour = behaviour;
    this.slots = new Slots(options.slots());
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
    threads.setDaemon(true);
    threads.setName("target-" + options.id());
    server = new Server(threads);
    work = connector(options.address(), options.port());
    work.addBean(new NetworkConnectionLimit(options.connections(), work));
    work.addBean(new ConnectCost());
    control = connector(options.address(), options.controlPort());
    server.addConnector(work);
    server.addConnector(control);
    server.setHandler(new Entrance());
    server.start();
  }

  private ServerConnector connector(String address, int port) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    connector.setHost(address);
    connector.setPort(port);
    return connector;
  }

  private record Sample(long nanos, int inFlight) {}

  /** Makes each new connection cost time of the one thread that opens connections. */
  private final class ConnectCost implements Connection.Listener {
    @Override
    public synchronized void onOpened(Connection connection) {
      log.countConnection();
      LockSupport.parkNanos((long) (options.connectMillis() * 1e6));
    }

    @Override
    public void onClosed(Connection connection) {}
  }

  private final class Entrance extends Handler.Abstract.NonBlocking {
    private final ControlPath controlPath = new ControlPath(TargetServer.this);

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      if (request.getConnectionMetaData().getConnector() == control
          || ControlPath.isReport(request)) {
        controlPath.handle(request, response, callback);
      } else {
        new Work(TargetServer.this, request, response, callback).start();
      }
      return true;
    }
  }

  /**
   * Returns the port for work.
   *
   * @return a TCP port
   */
  public int port() {
    return work.getLocalPort();
  }

  /**
   * Returns the port for control.
   *
   * @return a TCP port
   */
  public int controlPort() {
    return control.getLocalPort();
  }

  /**
   * Returns the log.
   *
   * @return the log
   */
  public RunLog log() {
    return log;
  }

  /**
   * Returns the behaviour.
   *
   * @return how the target behaves now
   */
  public Behaviour behaviour() {
    return behaviour;
  }

  /**
   * Changes the behaviour.
   *
   * @param next how the target behaves from now on
   */
  public void behave(Behaviour next) {
    behaviour = next;
  }

  /**
   * Returns the options.
   *
   * @return what the target is
   */
  public TargetOptions options() {
    return options;
  }

  Slots slots() {
    return slots;
  }

  Server server() {
    return server;
  }

  /** Returns the time since the start, in milliseconds. */
  long ageMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Returns the number of requests in flight as reports show it now, lag and factor included. */
  long reportedInFlight() {
    Behaviour now = behaviour;
    long nanos = System.nanoTime();
    int seen = slots.inFlight();
    synchronized (samples) {
      samples.addLast(new Sample(nanos, seen));
      while (samples.size() > 1
          && nanos - samples.getFirst().nanos() > REPORT_HISTORY_MILLIS * 1_000_000) {
        samples.removeFirst();
      }
      for (Sample sample : samples) {
        if (nanos - sample.nanos() >= now.loadLagMillis() * 1_000_000) {
          seen = sample.inFlight();
        }
      }
    }
    double factor = now.loadFactor() == 0 ? 1 : now.loadFactor();
    return Math.round(seen * factor);
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  /** Waits until the process is asked to end. */
  void join() throws InterruptedException {
    server.join();
  }
}
