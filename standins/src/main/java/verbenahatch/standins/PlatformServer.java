package verbenahatch.standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.wire.Wire;

/**
 * Serves an {@link InMemoryObjectStore} and a list of hosts over HTTP, with paths that control it.
 *
 * <p>{@code GET} and {@code PUT /control/faults} read and replace {@link StoreFaults}, {@code POST
 * /control/snapshot} and {@code /control/restore} save and restore the state of the store, {@code
 * GET /control/counts} returns the number of calls by kind, and {@code PUT /control/hosts} replaces
 * the list of hosts.
 */
public final class PlatformServer implements AutoCloseable {

  /** Large, since each waiting watch blocks one thread. */
  private static final int MAX_THREADS = 400;

  private final InMemoryObjectStore store;
  private final Server server;
  private final ServerConnector connector;
  private volatile InMemoryObjectStore.Snapshot snapshot;
  private volatile Wire.HostsBody hosts = new Wire.HostsBody(List.of());
  private final Set<EndPoint> silentConnections = ConcurrentHashMap.newKeySet();

  /**
   * Creates the server and starts it on loopback.
   *
   * @param port the TCP port, 0 for any free port
   * @param store the store to serve; {@link #close()} closes it
   * @throws IOException if the server cannot start, such as when the port is in use
   */
  public PlatformServer(int port, InMemoryObjectStore store) throws IOException {
    this.store = store;
    this.snapshot = store.snapshot();
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
    threads.setDaemon(true);
    threads.setName("platform");
    server = new Server(threads);
    connector = new ServerConnector(server, 1, 1);
    connector.setHost("127.0.0.1");
    connector.setPort(port);
    server.addConnector(connector);
    server.setHandler(new PlatformHandler());
    try {
      server.start();
    } catch (Exception e) {
      throw new IOException("platform server failed to start", e);
    }
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the TCP port
   */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Returns the base URL of the server.
   *
   * @return the URL without a trailing slash
   */
  public String url() {
    return "http://127.0.0.1:" + port();
  }

  /**
   * Replaces the active faults.
   *
   * <p>If {@link StoreFaults#silent()} is set, requests on the connections that are open at this
   * moment get no response until the faults are replaced again.
   *
   * @param faults the faults that are active from now on
   */
  public void setFaults(StoreFaults faults) {
    silentConnections.clear();
    if (faults.silent()) {
      silentConnections.addAll(connector.getConnectedEndPoints());
    }
    store.setFaults(faults);
  }

  @Override
  public void close() {
    store.close();
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("platform server failed to stop", e);
    }
  }

  /** Handles each request on its own thread, since store calls may block. */
  private final class PlatformHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      EndPoint connection = request.getConnectionMetaData().getConnection().getEndPoint();
      if (silentConnections.contains(connection)) {
        return true;
      }
      PreparedResponse prepared = dispatch(request);
      if (prepared.dropped()) {
        connection.close();
        callback.failed(new EofException("response dropped by a fault"));
        return true;
      }
      response.setStatus(prepared.status());
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      Content.Sink.write(
          response, true, new String(prepared.body(), StandardCharsets.UTF_8), callback);
      return true;
    }

    private PreparedResponse dispatch(Request request) throws Exception {
      Fields query = Request.extractQueryParameters(request);
      return switch (Request.getPathInContext(request)) {
        case Wire.OBJECT -> handleObject(request, query);
        case Wire.OBJECTS ->
            render(
                store
                    .list(text(query, Wire.PREFIX))
                    .map(
                        objects ->
                            new Wire.ListBody(
                                objects.stream().map(PlatformServer::body).toList())));
        case Wire.WATCH -> watchChanges(query);
        case Wire.HOSTS -> store.faults().down() ? storeDown() : PreparedResponse.ok(hosts);
        case "/control/faults" -> readOrSetFaults(request);
        case "/control/snapshot" -> {
          snapshot = store.snapshot();
          yield PreparedResponse.ok(Map.of());
        }
        case "/control/restore" -> {
          store.restore(snapshot);
          yield PreparedResponse.ok(Map.of());
        }
        case "/control/counts" -> PreparedResponse.ok(counts());
        case "/control/hosts" -> {
          hosts = Json.read(content(request), Wire.HostsBody.class);
          yield PreparedResponse.ok(hosts);
        }
        default -> PreparedResponse.error(404, "no such path", 0, false);
      };
    }

    private PreparedResponse handleObject(Request request, Fields query) throws IOException {
      String name = text(query, Wire.NAME);
      if (HttpMethod.GET.is(request.getMethod())) {
        return render(store.get(name).map(PlatformServer::body));
      }
      long expectedVersion = number(query, Wire.EXPECTED_VERSION);
      String writeId = text(query, Wire.WRITE_ID);
      if (HttpMethod.DELETE.is(request.getMethod())) {
        return render(
            store
                .delete(name, expectedVersion, writeId)
                .map(done -> new Wire.ObjectBody(name, null, 0, writeId)));
      }
      return render(
          store
              .put(name, content(request), expectedVersion, writeId)
              .map(done -> new Wire.ObjectBody(name, null, done.version(), writeId)));
    }

    private PreparedResponse watchChanges(Fields query) {
      Duration maxWait = Duration.ofMillis(number(query, Wire.MAX_WAIT_MILLIS));
      long resumeVersion = number(query, Wire.RESUME_VERSION);
      return render(
          store
              .watch(text(query, Wire.PREFIX), resumeVersion, maxWait)
              .map(
                  batch ->
                      new Wire.WatchBody(
                          batch.resumeVersion(),
                          batch.changed().stream().map(PlatformServer::body).toList(),
                          batch.deleted())));
    }

    private PreparedResponse readOrSetFaults(Request request) throws IOException, JsonException {
      if (!HttpMethod.GET.is(request.getMethod())) {
        setFaults(Json.read(content(request), StoreFaults.class));
      }
      return PreparedResponse.ok(store.faults());
    }

    private Map<InMemoryObjectStore.Call, Long> counts() {
      Map<InMemoryObjectStore.Call, Long> counts = new EnumMap<>(InMemoryObjectStore.Call.class);
      for (InMemoryObjectStore.Call call : InMemoryObjectStore.Call.values()) {
        counts.put(call, store.count(call));
      }
      return counts;
    }
  }

  private static <T> PreparedResponse render(Result<T, StoreError> result) {
    if (result.isOk()) {
      return PreparedResponse.ok(result.get());
    }
    StoreError error = result.error();
    if (error instanceof StoreError.NotFound) {
      return PreparedResponse.error(404, "no such object", 0, false);
    }
    if (error instanceof StoreError.Conflict conflict) {
      return PreparedResponse.error(409, "other version", conflict.currentVersion(), false);
    }
    if (error instanceof StoreError.Invalid invalid) {
      return PreparedResponse.error(400, invalid.reason(), 0, false);
    }
    return error instanceof StoreError.Unavailable ? storeDown() : PreparedResponse.DROPPED;
  }

  private static PreparedResponse storeDown() {
    return PreparedResponse.error(503, "the store is down", 0, false);
  }

  private static Wire.ObjectBody body(StoredObject object) {
    return new Wire.ObjectBody(object.name(), object.value(), object.version(), object.writeId());
  }

  private static byte[] content(Request request) throws IOException {
    try (var stream = Request.asInputStream(request)) {
      return stream.readNBytes(InMemoryObjectStore.MAX_VALUE_BYTES + 1);
    }
  }

  private static String text(Fields query, String name) {
    String value = query.getValue(name);
    return value == null ? "" : value;
  }

  private static long number(Fields query, String name) {
    return Long.parseLong(text(query, name));
  }

  /** A response to be sent; if it is dropped, the connection is closed instead. */
  @SuppressWarnings("ArrayRecordComponent")
  private record PreparedResponse(int status, byte[] body, boolean dropped) {
    static final PreparedResponse DROPPED = new PreparedResponse(0, new byte[0], true);

    static PreparedResponse ok(Object body) {
      return new PreparedResponse(200, Json.write(body), false);
    }

    static PreparedResponse error(int status, String reason, long currentVersion, boolean written) {
      return new PreparedResponse(
          status, Json.write(new Wire.ErrorBody(reason, currentVersion, written)), false);
    }
  }
}
