package verbenahatch.standins.target;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.Trailers;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.CallerWatch;
import verbenahatch.kernel.Json;

/** Runs one request at a target. */
final class Work {

  private static final String OWN = "Verbenahatch-";
  private static final int MAX_FILLER_CHUNK = 32 * 1024;

  /** Names the connections that a fault has made silent, by an attribute of the connection. */
  private static final String SILENT = "verbenahatch.silent";

  private static volatile String earlierId = "earlier-request";

  private final TargetServer target;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final AtomicBoolean holdsSlot = new AtomicBoolean();
  private final AtomicBoolean over = new AtomicBoolean();
  private final List<String> fields = new ArrayList<>();
  private @Nullable CallerWatch watch;
  private long bodyBytes;
  private @Nullable FaultRule fault;

  Work(TargetServer target, Request request, Response response, Callback callback) {
    this.target = target;
    this.request = request;
    this.response = response;
    this.callback = callback;
  }

  void start() {
    if (endPointAttribute()) {
      return;
    }
    for (HttpField field : request.getHeaders()) {
      fields.add(field.getName() + ": " + field.getValue());
    }
    Behaviour now = target.behaviour();
    if (now.draining()) {
      target.log().countArrivedDraining();
      shed();
      return;
    }
    if (target.slots().isFull()) {
      target.log().countArrivedFull();
    }
    request.addFailureListener(failure -> cancelled());
    if (target.slots().take(this::run, now.queue()) == Slots.Taken.NO) {
      shed();
    }
  }

  private boolean endPointAttribute() {
    return request.getConnectionMetaData().getAttribute(SILENT) != null;
  }

  private void shed() {
    target.log().countShed();
    response.setStatus(503);
    response.getHeaders().put(OWN + "Shed", "not-run");
    echo();
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
    response.write(true, null, callback);
  }

  private void run() {
    holdsSlot.set(true);
    if (over.get()) {
      release();
      return;
    }
    String path = request.getHttpURI().getPathQuery();
    target
        .log()
        .ran(
            header("Submission"),
            header("Workspace"),
            request.getMethod(),
            path,
            System.currentTimeMillis());
    fault = chooseFault(path);
    readBody();
  }

  private @Nullable FaultRule chooseFault(String path) {
    List<FaultRule> rules = target.behaviour().faults();
    if (rules == null) {
      return null;
    }
    for (FaultRule rule : rules) {
      if (path.startsWith(rule.pathPrefix())
          && target.log().counts().ran() > rule.afterRequests()
          && target.slots().inFlight() > rule.aboveInFlight()
          && ThreadLocalRandom.current().nextDouble() < rule.share()) {
        return rule;
      }
    }
    return null;
  }

  private void readBody() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::readBody);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        cancelled();
        callback.failed(Objects.requireNonNull(chunk.getFailure()));
        return;
      }
      if (chunk instanceof Trailers trailers) {
        for (HttpField field : trailers.getTrailers()) {
          fields.add("trailer:" + field.getName() + ": " + field.getValue());
        }
      }
      bodyBytes += chunk.remaining();
      boolean last = chunk.isLast();
      chunk.release();
      if (last) {
        break;
      }
    }
    target.log().saw(new RunLog.Head(request.getHttpURI().getPathQuery(), fields));
    watch = CallerWatch.begin(request, gone -> cancelled());
    long delay = workNanos();
    if (delay <= 0) {
      answer();
    } else {
      target.server().getScheduler().schedule(this::answer, delay, TimeUnit.NANOSECONDS);
    }
  }

  private @Nullable EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  private long workNanos() {
    Behaviour now = target.behaviour();
    double millis = now.workMillis();
    if (target.ageMillis() < now.coldMillis()) {
      millis *= Math.max(1, now.coldFactor());
    }
    FaultRule rule = fault;
    if (rule != null && rule.kind() == FaultRule.Kind.SLOW) {
      millis += rule.millis();
    }
    if (rule != null && rule.kind() == FaultRule.Kind.LATE) {
      String deadline = header("Deadline-Millis");
      millis += rule.millis() + (deadline.isEmpty() ? 0 : Long.parseLong(deadline));
    }
    return (long) (millis * 1e6);
  }

  private void cancelled() {
    if (over.compareAndSet(false, true)) {
      boolean ran = holdsSlot.get();
      release();
      // Counted last, so that a reader of the count finds the slot free.
      if (ran) {
        target.log().countCancelled();
      }
      callback.failed(new IOException("the other side closed the connection"));
    }
  }

  private void release() {
    if (holdsSlot.compareAndSet(true, false)) {
      target.slots().release();
    }
  }

  private void answer() {
    CallerWatch watching = watch;
    if (watching != null) {
      watching.end();
    }
    if (!over.compareAndSet(false, true)) {
      return;
    }
    release();
    FaultRule rule = fault;
    FaultRule.Kind kind = rule == null ? null : rule.kind();
    if (kind == FaultRule.Kind.SILENT) {
      request.getConnectionMetaData().setAttribute(SILENT, true);
      return;
    }
    if (kind == FaultRule.Kind.LOST) {
      close();
      return;
    }
    echo();
    if (kind == FaultRule.Kind.CROSSED) {
      response.getHeaders().put(OWN + "Request-Id", earlierId);
    } else {
      earlierId = header("Request-Id");
    }
    byte[] body = body();
    int status = kind == FaultRule.Kind.FAIL ? 500 : 200;
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    long filler = filler();
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length + filler);
    if (kind == FaultRule.Kind.TRUNCATED) {
      ByteBuffer half = ByteBuffer.wrap(body, 0, body.length / 2);
      response.write(false, half, Callback.from(this::close));
    } else if (kind == FaultRule.Kind.DUPLICATED) {
      byte[] twice = body;
      Callback again = Callback.from(callback, () -> writeRaw(twice));
      response.write(true, ByteBuffer.wrap(body), again);
    } else {
      new Filler(body, filler).succeeded();
    }
  }

  private byte[] body() {
    record Body(
        String target,
        String version,
        String path,
        String submission,
        String workspace,
        long bodyBytes) {}

    return Json.write(
        new Body(
            target.options().id(),
            target.options().version(),
            request.getHttpURI().getPathQuery(),
            header("Submission"),
            header("Workspace"),
            bodyBytes));
  }

  private long filler() {
    String size = Request.extractQueryParameters(request).getValue("size");
    return size == null ? 0 : Long.parseLong(size);
  }

  /** Writes the body and then the filler with back-pressure. */
  private final class Filler implements Callback {
    private byte @Nullable [] head;
    private long left;

    Filler(byte[] head, long left) {
      this.head = head;
      this.left = left;
    }

    @Override
    public void succeeded() {
      byte[] first = head;
      if (first != null) {
        head = null;
        response.write(left == 0, ByteBuffer.wrap(first), left == 0 ? callback : this);
        return;
      }
      int size = (int) Math.min(left, MAX_FILLER_CHUNK);
      left -= size;
      ByteBuffer chunk = ByteBuffer.wrap(" ".repeat(size).getBytes(StandardCharsets.US_ASCII));
      response.write(left == 0, chunk, left == 0 ? callback : this);
    }

    @Override
    public void failed(Throwable failure) {
      callback.failed(failure);
    }
  }

  private void writeRaw(byte[] body) {
    EndPoint endPoint = endPoint();
    if (endPoint != null) {
      String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
      ByteBuffer first = ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII));
      endPoint.write(Callback.NOOP, first, ByteBuffer.wrap(body));
    }
  }

  private void close() {
    EndPoint endPoint = endPoint();
    if (endPoint != null) {
      endPoint.close();
    }
    callback.failed(new IOException("closed by a fault"));
  }

  private void echo() {
    if (!target.behaviour().loadSilent()) {
      response.getHeaders().put(OWN + "Load", target.reportedInFlight());
    }
    String id = header("Request-Id");
    if (!id.isEmpty()) {
      response.getHeaders().put(OWN + "Request-Id", id);
    }
  }

  private String header(String name) {
    String value = request.getHeaders().get(OWN + name);
    return value == null ? "" : value;
  }
}
