import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Stand-in of one sound instance of a service. It registers itself and serves requests. */
final class Instance implements AutoCloseable {

  /** One run of a request; endNanos is 0 while it lasts. */
  static final class Run {
    final String instance;
    final Http.Message request;
    final long startNanos = System.nanoTime();
    volatile long endNanos;
    volatile String outcome = "running";

    Run(String instance, Http.Message request) {
      this.instance = instance;
      this.request = request;
    }

    String id() {
      return request.header("verbenahatch-request-id");
    }
  }

  final String id;
  final String service;
  private final String zone;
  private final int slots;
  private final Store store;
  private final Function<Http.Message, Integer> workMillis;
  private final ServerSocket listener;
  private final Semaphore free;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final ConcurrentLinkedQueue<Run> runs;
  private final long born = System.currentTimeMillis();
  private volatile boolean closed;

  Instance(
      String id,
      String service,
      String ip,
      String zone,
      int slots,
      Store store,
      ConcurrentLinkedQueue<Run> runs,
      Function<Http.Message, Integer> workMillis)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.store = store;
    this.runs = runs;
    this.workMillis = workMillis;
    free = new Semaphore(slots, true);
    listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
    start(this::accept, "instance-" + id);
    start(this::beat, "beat-" + id);
  }

  static void start(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void beat() {
    for (int sequence = 1; !closed; sequence++) {
      ObjectNode spec = Store.JSON.createObjectNode();
      spec.put("service", service);
      spec.put(
          "address", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort());
      spec.put("zone", zone).put("version", "v1").put("slots", slots).put("state", "ready");
      spec.put("cold-left", "0ms").put("sequence", sequence).put("born", born);
      store.write("servers", id, spec);
      try {
        Thread.sleep(1_500);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        start(() -> serve(socket), "connection-" + id);
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      socket.setSoTimeout(10_000);
      while (true) {
        Http.Message request = Http.read(in, true);
        if (request == null) {
          return;
        }
        respond(request, out);
      }
    } catch (IOException | InterruptedException e) {
      // The caller closed or reset the connection.
    }
  }

  private void respond(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String requestId = request.header("verbenahatch-request-id");
    if (request.target().equals("/health")) {
      answer(out, 200, requestId, "Verbenahatch-Instance-Id: " + id + "\r\n", "");
      return;
    }
    String expected = request.header("verbenahatch-expect-instance");
    if (expected != null && !expected.equals(id)) {
      answer(out, 421, requestId, "Verbenahatch-Instance-Id: " + id + "\r\n", "");
      return;
    }
    String deadline = request.header("verbenahatch-deadline-ms");
    long end =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(deadline == null ? 60_000 : Long.parseLong(deadline));
    if (waiting.incrementAndGet() > 2 * slots) {
      waiting.decrementAndGet();
      answer(out, 503, requestId, "Verbenahatch-Not-Executed: 1\r\n", "");
      return;
    }
    boolean acquired = free.tryAcquire(end - System.nanoTime(), TimeUnit.NANOSECONDS);
    waiting.decrementAndGet();
    if (!acquired) {
      answer(out, 503, requestId, "Verbenahatch-Not-Executed: 1\r\n", "");
      return;
    }
    running.incrementAndGet();
    Run run = new Run(id, request);
    runs.add(run);
    try {
      long work = TimeUnit.MILLISECONDS.toNanos(workMillis.apply(request));
      long left = end - System.nanoTime();
      TimeUnit.NANOSECONDS.sleep(Math.min(work, left));
      if (work > left) {
        run.outcome = "stopped at its deadline";
        answer(out, 504, requestId, "Verbenahatch-Response-Signature: s." + id + "\r\n", "");
      } else {
        answer(
            out,
            200,
            requestId,
            "Verbenahatch-Response-Signature: s." + id + "\r\n",
            "done " + requestId + "\n");
        run.outcome = "done, answer written";
      }
    } catch (IOException e) {
      run.outcome = "done, the connection was gone";
      throw e;
    } finally {
      run.endNanos = System.nanoTime();
      running.decrementAndGet();
      free.release();
    }
  }

  private void answer(OutputStream out, int status, String requestId, String fields, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + (requestId == null ? "" : "Verbenahatch-Request-Id: " + requestId + "\r\n")
            + fields
            + ("Verbenahatch-Server-Load: " + running + "," + waiting + "," + slots + "\r\n")
            + "Keep-Alive: timeout=10\r\n"
            + ("Content-Length: " + bytes.length + "\r\n\r\n");
    byte[] headBytes = head.getBytes(StandardCharsets.UTF_8);
    byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + bytes.length);
    System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
    out.write(all);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }
}
