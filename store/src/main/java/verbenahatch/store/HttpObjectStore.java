package verbenahatch.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.store.wire.Wire;

/**
 * Accesses the platform's object API over HTTP. Thread-safe.
 *
 * <p>Base URLs are tried in order, starting with the one that responded last. A write is sent to
 * the next URL only if no byte of it was sent to the previous one.
 */
public final class HttpObjectStore implements ObjectStore, HostList {

  /** Connections per base URL; calls beyond this number wait for one within their timeout. */
  private static final int MAX_CONNECTIONS = 16;

  /** Threads of the HTTP client; they only transfer bytes. */
  private static final int CLIENT_THREADS = 6;

  /** Longest head or trailer of a response in bytes; the library sets no limit by itself. */
  private static final int MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_LARGE = 413;

  private final List<String> urls;
  private final long timeoutMillis;
  private final HttpClient client = new HttpClient();
  private final AtomicInteger preferredUrlIndex = new AtomicInteger();

  /**
   * Creates the store and starts its HTTP client.
   *
   * @param urls base URLs in order of preference, not empty
   * @param timeout the timeout of one call, at least 1 ms; a watch may take its maximum wait in
   *     addition
   * @throws IllegalArgumentException if {@code urls} is empty or {@code timeout} is not positive
   * @throws IllegalStateException if the HTTP client fails to start
   */
  public HttpObjectStore(List<String> urls, Duration timeout) {
    if (urls.isEmpty()) {
      throw new IllegalArgumentException("no base URL configured");
    }
    if (timeout.toMillis() <= 0) {
      throw new IllegalArgumentException("timeout is not positive: " + timeout);
    }
    this.urls = urls.stream().map(url -> url.replaceAll("/+$", "")).toList();
    this.timeoutMillis = timeout.toMillis();
    QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, 1);
    threads.setName("verbenahatch-store");
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setFollowRedirects(false);
    client.setConnectTimeout(timeoutMillis);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
    client
        .getTransport()
        .setConnectionPoolFactory(
            destination -> new StoreConnectionPool(destination, MAX_CONNECTIONS));
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client failed to start", e);
    }
  }

  @Override
  public Result<StoredObject, StoreError> get(String name) {
    CallResult result =
        read(url -> request(url, Wire.OBJECT).param(Wire.NAME, name), timeoutMillis);
    if (result.error() == null && result.status() == NOT_FOUND) {
      return Result.err(new StoreError.NotFound(name));
    }
    Result<Wire.ObjectBody, StoreError> parsed = parse(result, Wire.ObjectBody.class);
    if (parsed.isOk() && !name.equals(parsed.get().name())) {
      return Result.err(new StoreError.Unavailable("response to another call"));
    }
    return parsed.map(HttpObjectStore::toStoredObject);
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    CallResult result =
        read(url -> request(url, Wire.OBJECTS).param(Wire.PREFIX, prefix), timeoutMillis);
    return parse(result, Wire.ListBody.class).map(body -> toStoredObjects(body.objects()));
  }

  @Override
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    RequestFactory factory =
        url ->
            writeRequest(url, HttpMethod.PUT, name, expectedVersion, writeId)
                .body(new BytesRequestContent("application/octet-stream", value));
    return parseWrite(write(factory, name, writeId), name, writeId)
        .map(body -> new StoredObject(name, value, body.version(), writeId));
  }

  @Override
  public Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId) {
    RequestFactory factory =
        url -> writeRequest(url, HttpMethod.DELETE, name, expectedVersion, writeId);
    return parseWrite(write(factory, name, writeId), name, writeId).map(body -> true);
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    RequestFactory factory =
        url ->
            request(url, Wire.WATCH)
                .param(Wire.PREFIX, prefix)
                .param(Wire.RESUME_VERSION, Long.toString(resumeVersion))
                .param(Wire.MAX_WAIT_MILLIS, Long.toString(maxWait.toMillis()));
    CallResult result = read(factory, maxWait.toMillis() + timeoutMillis);
    return parse(result, Wire.WatchBody.class)
        .map(
            body ->
                new WatchBatch(
                    body.resumeVersion(), toStoredObjects(body.changed()), body.deleted()));
  }

  @Override
  public Result<List<PlatformHost>, StoreError> hosts() {
    CallResult result = read(url -> request(url, Wire.HOSTS), timeoutMillis);
    return parse(result, Wire.HostsBody.class).map(HttpObjectStore::toPlatformHosts);
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client failed to stop", e);
    }
  }

  private Request request(String url, String path) {
    return client.newRequest(url + path);
  }

  private Request writeRequest(
      String url, HttpMethod method, String name, long expectedVersion, String writeId) {
    return request(url, Wire.OBJECT)
        .method(method)
        .param(Wire.NAME, name)
        .param(Wire.EXPECTED_VERSION, Long.toString(expectedVersion))
        .param(Wire.WRITE_ID, writeId);
  }

  private CallResult read(RequestFactory factory, long callTimeoutMillis) {
    return call(factory, callTimeoutMillis, reason -> new StoreError.Unavailable(reason));
  }

  private CallResult write(RequestFactory factory, String name, String writeId) {
    return call(factory, timeoutMillis, reason -> new StoreError.Unsettled(name, writeId));
  }

  private CallResult call(
      RequestFactory factory, long callTimeoutMillis, ErrorFactory incompleteError) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(callTimeoutMillis);
    int first = preferredUrlIndex.get();
    StoreError error = new StoreError.Unavailable("call timed out before the first attempt");
    for (int i = 0; i < urls.size(); i++) {
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (remainingMillis <= 0) {
        break;
      }
      int index = (first + i) % urls.size();
      HttpCall.Outcome outcome =
          new HttpCall(factory.create(urls.get(index))).send(remainingMillis);
      if (outcome instanceof HttpCall.Outcome.ResponseReceived response) {
        preferredUrlIndex.set(index);
        return new CallResult(response.status(), response.body(), null);
      }
      preferredUrlIndex.set((index + 1) % urls.size());
      if (outcome instanceof HttpCall.Outcome.Incomplete failed) {
        if (failed.timedOut()) {
          closeIdleConnections();
        }
        error = incompleteError.create(failed.reason());
        if (error instanceof StoreError.Unsettled) {
          break;
        }
      } else if (outcome instanceof HttpCall.Outcome.NotSent failed) {
        error = new StoreError.Unavailable(failed.reason());
      }
    }
    return new CallResult(0, new byte[0], error);
  }

  private void closeIdleConnections() {
    for (Destination destination : client.getDestinations()) {
      if (destination.getConnectionPool() instanceof StoreConnectionPool pool) {
        pool.closeIdle();
      }
    }
  }

  private <T> Result<T, StoreError> parse(CallResult result, Class<T> type) {
    if (result.error() != null) {
      return Result.err(result.error());
    }
    if (result.status() == BAD_REQUEST) {
      return Result.err(new StoreError.Invalid(describeFailure(result)));
    }
    if (result.status() != OK) {
      return Result.err(new StoreError.Unavailable(describeFailure(result)));
    }
    try {
      return Result.ok(Json.read(result.body(), type));
    } catch (JsonException e) {
      return Result.err(new StoreError.Unavailable("response cannot be parsed: " + e.getMessage()));
    }
  }

  private Result<Wire.ObjectBody, StoreError> parseWrite(
      CallResult result, String name, String writeId) {
    if (result.error() != null) {
      return Result.err(result.error());
    }
    Wire.ErrorBody errorBody = result.status() == OK ? null : parseErrorBody(result);
    if (errorBody != null) {
      if (result.status() == CONFLICT) {
        return Result.err(new StoreError.Conflict(name, errorBody.currentVersion()));
      }
      if (result.status() == NOT_FOUND) {
        return Result.err(new StoreError.NotFound(name));
      }
      if (result.status() == BAD_REQUEST || result.status() == TOO_LARGE) {
        return Result.err(new StoreError.Invalid(errorBody.reason()));
      }
      if (!errorBody.written()) {
        return Result.err(new StoreError.Unavailable(errorBody.reason()));
      }
    }
    Result<Wire.ObjectBody, StoreError> parsed = parse(result, Wire.ObjectBody.class);
    if (parsed.isOk() && !writeId.equals(parsed.get().writeId())) {
      // The response to another call; whether this one was executed is not known.
      return Result.err(new StoreError.Unsettled(name, writeId));
    }
    return parsed.mapError(error -> new StoreError.Unsettled(name, writeId));
  }

  private static Wire.@Nullable ErrorBody parseErrorBody(CallResult result) {
    try {
      return Json.read(result.body(), Wire.ErrorBody.class);
    } catch (JsonException e) {
      return null;
    }
  }

  private static String describeFailure(CallResult result) {
    Wire.ErrorBody body = parseErrorBody(result);
    return "status " + result.status() + (body == null ? "" : ": " + body.reason());
  }

  private static StoredObject toStoredObject(Wire.ObjectBody body) {
    byte[] value = body.value() == null ? new byte[0] : body.value();
    return new StoredObject(body.name(), value, body.version(), body.writeId());
  }

  private static List<StoredObject> toStoredObjects(List<Wire.ObjectBody> bodies) {
    return bodies.stream().map(HttpObjectStore::toStoredObject).toList();
  }

  private static List<PlatformHost> toPlatformHosts(Wire.HostsBody body) {
    List<PlatformHost> hosts = new ArrayList<>();
    for (Wire.HostBody host : body.hosts()) {
      hosts.add(new PlatformHost(host.host(), host.address(), host.leaving()));
    }
    return List.copyOf(hosts);
  }

  private interface RequestFactory {
    Request create(String url);
  }

  private interface ErrorFactory {
    StoreError create(String reason);
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record CallResult(int status, byte[] body, @Nullable StoreError error) {}
}
