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
 * Serves an {@link InMemoryObjectStore} and a list of hosts over HTTP, with a control path.
 *
 * <p>{@code GET} and {@code PUT /control/faults} read and replace {@link StoreFaults}, {@code POST
 * /control/snapshot} and {@code /control/restore} keep and bring back an older state, {@code GET
 * /control/counts} returns the calls by kind, {@code PUT /control/hosts} replaces the list of
 * hosts.
 */
public final class PlatformServer implements AutoCloseable {

  /** Each waiting watch holds one thread. */
  private static final int MAX_THREADS = 400;

  private final InMemoryObjectStore store;
  private final Server server;
  private final ServerConnector connector;
  private volatile InMemoryObjectStore.Snapshot snapshot;
  private volatile Wire.HostsBody hosts = new Wire.HostsBody(List.of());
  private final Set<EndPoint> silent = ConcurrentHashMap.newKeySet();

  /**
   * Starts the server on loopback.
   *
   * @param port the TCP port, 0 for any free port
   * @param store the objects to serve; closed with the server
   * @throws IOException if the port cannot be used
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
      throw new IOException("platform server does not start", e);
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
   * Returns the base URL.
   *
   * @return the URL without a slash at the end
   */
  public String url() {
    return "http://127.0.0.1:" + port();
  }

  /**
   * Replaces the faults that are switched on.
   *
   * @param faults the new faults
   */
  public void setFaults(StoreFaults faults) {
    silent.clear();
    if (faults.silent()) {
      silent.addAll(connector.getConnectedEndPoints());
    }
    store.setFaults(faults);
  }

  @Override
  public void close() {
    store.close();
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("platform server does not stop", e);
    }
  }

  /** Answers each request on a thread of its own, since store calls may block. */
  private final class PlatformHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      EndPoint connection = request.getConnectionMetaData().getConnection().getEndPoint();
      if (silent.contains(connection)) {
        return true;
      }
      Answer answer = answer(request);
      if (answer.dropped()) {
        connection.close();
        callback.failed(new EofException("answer dropped"));
        return true;
      }
      response.setStatus(answer.status());
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      Content.Sink.write(
          response, true, new String(answer.body(), StandardCharsets.UTF_8), callback);
      return true;
    }

    private Answer answer(Request request) throws Exception {
      Fields query = Request.extractQueryParameters(request);
      return switch (Request.getPathInContext(request)) {
        case Wire.OBJECT -> object(request, query);
        case Wire.OBJECTS ->
            render(
                store
                    .list(text(query, Wire.PREFIX))
                    .map(
                        found ->
                            new Wire.ListBody(found.stream().map(PlatformServer::body).toList())));
        case Wire.WATCH -> watchChanges(query);
        case Wire.HOSTS -> store.faults().down() ? down() : Answer.ok(hosts);
        case "/control/faults" -> readOrSetFaults(request);
        case "/control/snapshot" -> {
          snapshot = store.snapshot();
          yield Answer.ok(Map.of());
        }
        case "/control/restore" -> {
          store.restore(snapshot);
          yield Answer.ok(Map.of());
        }
        case "/control/counts" -> Answer.ok(counts());
        case "/control/hosts" -> {
          hosts = Json.read(content(request), Wire.HostsBody.class);
          yield Answer.ok(hosts);
        }
        default -> Answer.error(404, "no such path", 0, false);
      };
    }

    private Answer object(Request request, Fields query) throws IOException {
      String name = text(query, Wire.NAME);
      if (HttpMethod.GET.is(request.getMethod())) {
        return render(store.get(name).map(PlatformServer::body));
      }
      long expected = number(query, Wire.EXPECTED_VERSION);
      String writeId = text(query, Wire.WRITE_ID);
      if (HttpMethod.DELETE.is(request.getMethod())) {
        return render(
            store
                .delete(name, expected, writeId)
                .map(done -> new Wire.ObjectBody(name, null, 0, writeId)));
      }
      return render(
          store
              .put(name, content(request), expected, writeId)
              .map(done -> new Wire.ObjectBody(name, null, done.version(), writeId)));
    }

    private Answer watchChanges(Fields query) {
      Duration wait = Duration.ofMillis(number(query, Wire.MAX_WAIT_MILLIS));
      long resume = number(query, Wire.RESUME_VERSION);
      return render(
          store
              .watch(text(query, Wire.PREFIX), resume, wait)
              .map(
                  batch ->
                      new Wire.WatchBody(
                          batch.resumeVersion(),
                          batch.changed().stream().map(PlatformServer::body).toList(),
                          batch.deleted())));
    }

    private Answer readOrSetFaults(Request request) throws IOException, JsonException {
      if (!HttpMethod.GET.is(request.getMethod())) {
        setFaults(Json.read(content(request), StoreFaults.class));
      }
      return Answer.ok(store.faults());
    }

    private Map<InMemoryObjectStore.Call, Long> counts() {
      Map<InMemoryObjectStore.Call, Long> counts = new EnumMap<>(InMemoryObjectStore.Call.class);
      for (InMemoryObjectStore.Call call : InMemoryObjectStore.Call.values()) {
        counts.put(call, store.count(call));
      }
      return counts;
    }
  }

  private static <T> Answer render(Result<T, StoreError> result) {
    if (result.isOk()) {
      return Answer.ok(result.get());
    }
    StoreError error = result.error();
    if (error instanceof StoreError.NotFound) {
      return Answer.error(404, "no such object", 0, false);
    }
    if (error instanceof StoreError.Conflict conflict) {
      return Answer.error(409, "other version", conflict.currentVersion(), false);
    }
    if (error instanceof StoreError.Invalid invalid) {
      return Answer.error(400, invalid.reason(), 0, false);
    }
    return error instanceof StoreError.Unavailable ? down() : Answer.DROPPED;
  }

  private static Answer down() {
    return Answer.error(503, "the store is down", 0, false);
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

  /** Holds an answer before it is sent; a dropped one closes the connection instead. */
  @SuppressWarnings("ArrayRecordComponent")
  private record Answer(int status, byte[] body, boolean dropped) {
    static final Answer DROPPED = new Answer(0, new byte[0], true);

    static Answer ok(Object body) {
      return new Answer(200, Json.write(body), false);
    }

    static Answer error(int status, String reason, long currentVersion, boolean written) {
      return new Answer(
          status, Json.write(new Wire.ErrorBody(reason, currentVersion, written)), false);
    }
  }
}
