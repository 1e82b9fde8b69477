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
 * Calls the platform's object API over HTTP. Thread-safe.
 *
 * <p>Base URLs are tried in order, starting from the one that worked last. A write goes to a
 * further URL only if no byte of it left for the one before.
 */
public final class HttpObjectStore implements ObjectStore, HostList {

  /** Connections per base URL; callers beyond that wait within their timeout. */
  private static final int MAX_CONNECTIONS = 16;

  /** Threads of the HTTP client; they only move bytes. */
  private static final int CLIENT_THREADS = 6;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_LARGE = 413;

  private final List<String> urls;
  private final long timeoutMillis;
  private final HttpClient client = new HttpClient();
  private final AtomicInteger preferred = new AtomicInteger();

  /**
   * Starts the client.
   *
   * @param urls base URLs in order of preference, not empty
   * @param timeout the longest time of one call, positive; a watch may take its wait in addition
   * @throws IllegalArgumentException if {@code urls} is empty or {@code timeout} is not positive
   * @throws IllegalStateException if the client does not start
   */
  public HttpObjectStore(List<String> urls, Duration timeout) {
    if (urls.isEmpty()) {
      throw new IllegalArgumentException("no base URL");
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
    client
        .getTransport()
        .setConnectionPoolFactory(to -> new StoreConnectionPool(to, MAX_CONNECTIONS));
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client does not start", e);
    }
  }

  @Override
  public Result<StoredObject, StoreError> get(String name) {
    Reply reply = read(url -> request(url, Wire.OBJECT).param(Wire.NAME, name), timeoutMillis);
    if (reply.error() == null && reply.status() == NOT_FOUND) {
      return Result.err(new StoreError.NotFound(name));
    }
    return parse(reply, Wire.ObjectBody.class).map(HttpObjectStore::object);
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    Reply reply = read(url -> request(url, Wire.OBJECTS).param(Wire.PREFIX, prefix), timeoutMillis);
    return parse(reply, Wire.ListBody.class).map(body -> objects(body.objects()));
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
    Reply reply = read(factory, maxWait.toMillis() + timeoutMillis);
    return parse(reply, Wire.WatchBody.class)
        .map(body -> new WatchBatch(body.resumeVersion(), objects(body.changed()), body.deleted()));
  }

  @Override
  public Result<List<PlatformHost>, StoreError> hosts() {
    Reply reply = read(url -> request(url, Wire.HOSTS), timeoutMillis);
    return parse(reply, Wire.HostsBody.class).map(HttpObjectStore::platformHosts);
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client does not stop", e);
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

  private Reply read(RequestFactory factory, long limitMillis) {
    return call(factory, limitMillis, reason -> new StoreError.Unavailable(reason));
  }

  private Reply write(RequestFactory factory, String name, String writeId) {
    return call(factory, timeoutMillis, reason -> new StoreError.Unsettled(name, writeId));
  }

  private Reply call(RequestFactory factory, long limitMillis, ErrorFactory broken) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    int first = preferred.get();
    StoreError error = new StoreError.Unavailable("no time left");
    for (int i = 0; i < urls.size(); i++) {
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (leftMillis <= 0) {
        break;
      }
      int index = (first + i) % urls.size();
      HttpCall.Outcome outcome = new HttpCall(factory.create(urls.get(index))).send(leftMillis);
      if (outcome instanceof HttpCall.Outcome.Answered answered) {
        preferred.set(index);
        return new Reply(answered.status(), answered.body(), null);
      }
      preferred.set((index + 1) % urls.size());
      if (outcome instanceof HttpCall.Outcome.Broken failed) {
        if (failed.timedOut()) {
          closeIdleConnections();
        }
        error = broken.create(failed.reason());
        if (error instanceof StoreError.Unsettled) {
          break;
        }
      } else if (outcome instanceof HttpCall.Outcome.NotSent failed) {
        error = new StoreError.Unavailable(failed.reason());
      }
    }
    return new Reply(0, new byte[0], error);
  }

  private void closeIdleConnections() {
    for (Destination destination : client.getDestinations()) {
      if (destination.getConnectionPool() instanceof StoreConnectionPool pool) {
        pool.closeIdle();
      }
    }
  }

  private <T> Result<T, StoreError> parse(Reply reply, Class<T> type) {
    if (reply.error() != null) {
      return Result.err(reply.error());
    }
    if (reply.status() == BAD_REQUEST) {
      return Result.err(new StoreError.Invalid(reason(reply)));
    }
    if (reply.status() != OK) {
      return Result.err(new StoreError.Unavailable(reason(reply)));
    }
    try {
      return Result.ok(Json.read(reply.body(), type));
    } catch (JsonException e) {
      return Result.err(new StoreError.Unavailable("answer is not readable: " + e.getMessage()));
    }
  }

  private Result<Wire.ObjectBody, StoreError> parseWrite(Reply reply, String name, String writeId) {
    if (reply.error() != null) {
      return Result.err(reply.error());
    }
    Wire.ErrorBody fault = reply.status() == OK ? null : errorBody(reply);
    if (fault != null) {
      if (reply.status() == CONFLICT) {
        return Result.err(new StoreError.Conflict(name, fault.currentVersion()));
      }
      if (reply.status() == NOT_FOUND) {
        return Result.err(new StoreError.NotFound(name));
      }
      if (reply.status() == BAD_REQUEST || reply.status() == TOO_LARGE) {
        return Result.err(new StoreError.Invalid(fault.reason()));
      }
      if (!fault.written()) {
        return Result.err(new StoreError.Unavailable(fault.reason()));
      }
    }
    Result<Wire.ObjectBody, StoreError> parsed = parse(reply, Wire.ObjectBody.class);
    return parsed.mapError(error -> new StoreError.Unsettled(name, writeId));
  }

  private static Wire.@Nullable ErrorBody errorBody(Reply reply) {
    try {
      return Json.read(reply.body(), Wire.ErrorBody.class);
    } catch (JsonException e) {
      return null;
    }
  }

  private static String reason(Reply reply) {
    Wire.ErrorBody body = errorBody(reply);
    return "status " + reply.status() + (body == null ? "" : ": " + body.reason());
  }

  private static StoredObject object(Wire.ObjectBody body) {
    byte[] value = body.value() == null ? new byte[0] : body.value();
    return new StoredObject(body.name(), value, body.version(), body.writeId());
  }

  private static List<StoredObject> objects(List<Wire.ObjectBody> bodies) {
    return bodies.stream().map(HttpObjectStore::object).toList();
  }

  private static List<PlatformHost> platformHosts(Wire.HostsBody body) {
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
  private record Reply(int status, byte[] body, @Nullable StoreError error) {}
}
