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
import verbenahatch.http.ResetOnClose;
import verbenahatch.kernel.Json;

/** Executes one request at a target, from arrival to the response. */
final class RequestExecution {

  private static final String HEADER_PREFIX = "Verbenahatch-";
  private static final int MAX_PADDING_CHUNK_BYTES = 32 * 1024;

  /** Attribute of the connections on which a fault has suppressed all further responses. */
  private static final String SILENT_ATTRIBUTE = "verbenahatch.silent";

  private static final List<String> INVALID_STATUSES = List.of("000", "099", "600", "999");

  /** Time in which the caller reads a part of a response; a reset discards what is not read. */
  private static final long RESET_DELAY_MILLIS = 50;

  private static volatile String earlierRequestId = "earlier-request";

  private final TargetServer target;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final AtomicBoolean holdsSlot = new AtomicBoolean();
  private final AtomicBoolean finished = new AtomicBoolean();
  private final List<String> fields = new ArrayList<>();
  private @Nullable CallerWatch watch;
  private long bodyBytes;
  private @Nullable FaultRule fault;

  RequestExecution(TargetServer target, Request request, Response response, Callback callback) {
    this.target = target;
    this.request = request;
    this.response = response;
    this.callback = callback;
  }

  void start() {
    if (isSilent()) {
      return;
    }
    for (HttpField field : request.getHeaders()) {
      fields.add(field.getName() + ": " + field.getValue());
    }
    Behaviour behaviour = target.behaviour();
    if (behaviour.draining()) {
      target.log().countArrivedDraining();
      shed();
      return;
    }
    if (target.slots().isFull()) {
      target.log().countArrivedFull();
    }
    request.addFailureListener(failure -> onCancelled());
    if (target.slots().submit(this::run, behaviour.queue()) == Slots.Admission.REJECTED) {
      shed();
    }
  }

  private boolean isSilent() {
    return request.getConnectionMetaData().getAttribute(SILENT_ATTRIBUTE) != null;
  }

  private void shed() {
    target.log().countShed();
    response.setStatus(503);
    response.getHeaders().put(HEADER_PREFIX + "Shed", "not-run");
    addReportHeaders();
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
    response.write(true, null, callback);
  }

  private void run() {
    holdsSlot.set(true);
    if (finished.get()) {
      release();
      return;
    }
    String path = request.getHttpURI().getPathQuery();
    target
        .log()
        .recordRun(
            header("Submission"),
            header("Workspace"),
            request.getMethod(),
            path,
            System.currentTimeMillis());
    FaultRule rule = chooseFault(path);
    fault = rule;
    if (rule != null && rule.kind() == FaultRule.Kind.EARLY_RESET) {
      respondEarly();
      return;
    }
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
        onCancelled();
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
    target.log().recordHead(new RunLog.Head(request.getHttpURI().getPathQuery(), fields));
    watch = CallerWatch.begin(request, failure -> onCancelled());
    long delay = workNanos();
    if (delay <= 0) {
      respond();
    } else {
      target.server().getScheduler().schedule(this::respond, delay, TimeUnit.NANOSECONDS);
    }
  }

  private @Nullable EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  private long workNanos() {
    Behaviour behaviour = target.behaviour();
    double millis = behaviour.workMillis();
    if (target.ageMillis() < behaviour.coldMillis()) {
      millis *= Math.max(1, behaviour.coldFactor());
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

  private void onCancelled() {
    if (finished.compareAndSet(false, true)) {
      boolean ran = holdsSlot.get();
      release();
      // Counted last, so that the slot is already free when a reader sees the new count.
      if (ran) {
        target.log().countCancelled();
      }
      callback.failed(new IOException("caller closed the connection"));
    }
  }

  private void release() {
    if (holdsSlot.compareAndSet(true, false)) {
      target.slots().release();
    }
  }

  private void respond() {
    CallerWatch callerWatch = watch;
    if (callerWatch != null) {
      callerWatch.end();
    }
    if (!finished.compareAndSet(false, true)) {
      return;
    }
    release();
    FaultRule rule = fault;
    FaultRule.Kind kind = rule == null ? null : rule.kind();
    if (kind == FaultRule.Kind.SILENT) {
      request.getConnectionMetaData().setAttribute(SILENT_ATTRIBUTE, true);
      return;
    }
    if (kind == FaultRule.Kind.LOST) {
      close();
      return;
    }
    addReportHeaders();
    if (kind == FaultRule.Kind.CROSSED) {
      response.getHeaders().put(HEADER_PREFIX + "Request-Id", earlierRequestId);
    } else {
      earlierRequestId = header("Request-Id");
    }
    byte[] body = body();
    if (kind == FaultRule.Kind.INVALID_STATUS) {
      int index = ThreadLocalRandom.current().nextInt(INVALID_STATUSES.size());
      String length = "Content-Length: " + body.length + "\r\n";
      writeRaw(INVALID_STATUSES.get(index), length, ByteBuffer.wrap(body), this::close);
      return;
    }
    int status = kind == FaultRule.Kind.FAIL ? 500 : 200;
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    long padding = paddingBytes();
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length + padding);
    if (kind == FaultRule.Kind.TRUNCATED) {
      ByteBuffer firstHalf = ByteBuffer.wrap(body, 0, body.length / 2);
      response.write(false, firstHalf, Callback.from(this::close));
    } else if (kind == FaultRule.Kind.DUPLICATED) {
      byte[] duplicate = body;
      Callback writeDuplicate = Callback.from(callback, () -> writeRaw(duplicate));
      response.write(true, ByteBuffer.wrap(body), writeDuplicate);
    } else {
      new PaddedBodyWriter(body, padding).succeeded();
    }
  }

  /** Writes a part of a response while the caller may be sending, and resets the connection. */
  private void respondEarly() {
    if (!finished.compareAndSet(false, true)) {
      return;
    }
    release();
    byte[] body = body();
    ByteBuffer part = ByteBuffer.wrap(body, 0, body.length / 2);
    writeRaw(
        "200",
        "",
        part,
        () ->
            target
                .server()
                .getScheduler()
                .schedule(this::reset, RESET_DELAY_MILLIS, TimeUnit.MILLISECONDS));
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

  private long paddingBytes() {
    String size = Request.extractQueryParameters(request).getValue("size");
    return size == null ? 0 : Long.parseLong(size);
  }

  /** Writes the body and then blanks as padding, with back-pressure. */
  private final class PaddedBodyWriter implements Callback {
    private byte @Nullable [] head;
    private long remaining;

    PaddedBodyWriter(byte[] head, long remaining) {
      this.head = head;
      this.remaining = remaining;
    }

    @Override
    public void succeeded() {
      byte[] first = head;
      if (first != null) {
        head = null;
        response.write(remaining == 0, ByteBuffer.wrap(first), remaining == 0 ? callback : this);
        return;
      }
      int size = (int) Math.min(remaining, MAX_PADDING_CHUNK_BYTES);
      remaining -= size;
      ByteBuffer chunk = ByteBuffer.wrap(" ".repeat(size).getBytes(StandardCharsets.US_ASCII));
      response.write(remaining == 0, chunk, remaining == 0 ? callback : this);
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

  /** Writes a response to this request past the library, which checks statuses and lengths. */
  private void writeRaw(String status, String field, ByteBuffer body, Runnable onWritten) {
    EndPoint endPoint = endPoint();
    if (endPoint != null) {
      String head =
          "HTTP/1.1 "
              + status
              + " X\r\n"
              + HEADER_PREFIX
              + "Request-Id: "
              + header("Request-Id")
              + "\r\n"
              + field
              + "\r\n";
      ByteBuffer first = ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII));
      endPoint.write(Callback.from(onWritten), first, body);
    }
  }

  private void reset() {
    EndPoint endPoint = endPoint();
    if (endPoint != null) {
      try {
        ResetOnClose.enable(endPoint);
      } catch (IOException e) {
        // The caller has closed the connection.
        callback.failed(e);
        return;
      }
    }
    close();
  }

  private void close() {
    EndPoint endPoint = endPoint();
    if (endPoint != null) {
      endPoint.close();
    }
    callback.failed(new IOException("connection closed by a fault"));
  }

  private void addReportHeaders() {
    if (!target.behaviour().loadSilent()) {
      response.getHeaders().put(HEADER_PREFIX + "Load", target.reportedInFlight());
    }
    String id = header("Request-Id");
    if (!id.isEmpty()) {
      response.getHeaders().put(HEADER_PREFIX + "Request-Id", id);
    }
  }

  private String header(String name) {
    String value = request.getHeaders().get(HEADER_PREFIX + name);
    return value == null ? "" : value;
  }
}
