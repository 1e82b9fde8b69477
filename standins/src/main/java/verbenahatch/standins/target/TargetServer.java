package verbenahatch.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import verbenahatch.http.WatchedConnectionFactory;

/** Runs one target with an endpoint for requests and one for control. */
public final class TargetServer implements AutoCloseable {

  private static final int MAX_THREADS = 32;

  /** Age up to which load samples are kept for delayed load reports, in milliseconds. */
  private static final long REPORT_HISTORY_MILLIS = 60_000;

  private final Server server;
  private final ServerConnector requestConnector;
  private final ServerConnector controlConnector;
  private final TargetOptions options;
  private final RunLog log = new RunLog();
  private final Slots slots;
  private final long startNanos = System.nanoTime();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private volatile Behaviour behaviour;

  /**
   * Creates and starts a target.
   *
   * @param options the options of the target
   * @param behaviour the behaviour until {@link #setBehaviour(Behaviour)} replaces it
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
    requestConnector = connector(options.address(), options.port());
    requestConnector.addBean(new NetworkConnectionLimit(options.connections(), requestConnector));
    requestConnector.addBean(new ConnectionDelay());
    controlConnector = connector(options.address(), options.controlPort());
    server.addConnector(requestConnector);
    server.addConnector(controlConnector);
    server.setHandler(new TargetHandler());
    server.start();
  }

  private ServerConnector connector(String address, int port) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    ServerConnector connector =
        new ServerConnector(server, 1, 1, new WatchedConnectionFactory(http));
    connector.setHost(address);
    connector.setPort(port);
    return connector;
  }

  private record Sample(long nanos, int inFlight) {}

  /** Delays the one thread that opens connections by a fixed time for each new connection. */
  private final class ConnectionDelay implements Connection.Listener {
    @Override
    public synchronized void onOpened(Connection connection) {
      log.countConnection();
      LockSupport.parkNanos((long) (options.connectMillis() * 1e6));
    }

    @Override
    public void onClosed(Connection connection) {}
  }

  private final class TargetHandler extends Handler.Abstract.NonBlocking {
    private final ControlPath controlPath = new ControlPath(TargetServer.this);

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      if (request.getConnectionMetaData().getConnector() == controlConnector
          || ControlPath.isReportRequest(request)) {
        controlPath.handle(request, response, callback);
      } else {
        new RequestExecution(TargetServer.this, request, response, callback).start();
      }
      return true;
    }
  }

  /**
   * Returns the port for requests.
   *
   * @return the TCP port
   */
  public int port() {
    return requestConnector.getLocalPort();
  }

  /**
   * Returns the port for control.
   *
   * @return the TCP port
   */
  public int controlPort() {
    return controlConnector.getLocalPort();
  }

  /**
   * Returns the log of the requests that the target received.
   *
   * @return the log, which continues to grow
   */
  public RunLog log() {
    return log;
  }

  /**
   * Returns the current behaviour.
   *
   * @return the behaviour
   */
  public Behaviour behaviour() {
    return behaviour;
  }

  /**
   * Replaces the behaviour.
   *
   * @param newBehaviour the behaviour from now on
   */
  public void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /**
   * Returns the options of the target.
   *
   * @return the options
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

  /** Returns the number of requests in flight to report, with the configured lag and factor. */
  long reportedInFlight() {
    Behaviour current = behaviour;
    long nanos = System.nanoTime();
    int inFlight = slots.inFlight();
    synchronized (samples) {
      samples.addLast(new Sample(nanos, inFlight));
      while (samples.size() > 1
          && nanos - samples.getFirst().nanos() > REPORT_HISTORY_MILLIS * 1_000_000) {
        samples.removeFirst();
      }
      for (Sample sample : samples) {
        if (nanos - sample.nanos() >= current.loadLagMillis() * 1_000_000) {
          inFlight = sample.inFlight();
        }
      }
    }
    double factor = current.loadFactor() == 0 ? 1 : current.loadFactor();
    return Math.round(inFlight * factor);
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  /** Waits until the server stops. */
  void join() throws InterruptedException {
    server.join();
  }
}
