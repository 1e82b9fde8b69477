import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Fault: uploads in chunks, each far below max-body-bytes, arrive at the same time. The processes
 * exceed the memory of their machine, for which the platform kills them.
 */
final class UploadsExceedMemory {
  private static final int WAVES = 3;
  private static final int UPLOADS = Cluster.TROUBLE ? 40 : 4;
  private static final int UPLOAD_BYTES = 6 * 1024 * 1024;

  /** All uploads to a machine together stay below its link of 1,000 Mbit/s. */
  private static final int BYTES_PER_SECOND = 2 * 1024 * 1024;

  private static final long DEADLINE_MILLIS = 10_000;

  /** The limit memory-mb of the settings of a machine of both sites. */
  private static final long MEMORY_KILOBYTES = 430 * 1024;

  private static volatile boolean done;

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("orders", "/orders/", "unsafe", "6000ms", "order-desk", 2);
    cluster.route("uploads", "/uploads/", "upload", "10000ms", "artwork-intake", 2);
    cluster.service("order-desk");
    cluster.service("artwork-intake");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances("order-desk", 6, 6, request -> 600);
    cluster.instances("artwork-intake", 8, 6, request -> 600);
    cluster.daemons(4);
    cluster.startAll();
    Thread.sleep(1_000);
    ExecutorService threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            });
    List<Daemon> used = cluster.daemons.subList(0, 2);
    List<Integer> kills = Collections.synchronizedList(new ArrayList<>(List.of(0, 0)));
    long[] highest = new long[used.size()];
    for (int i = 0; i < used.size(); i++) {
      int index = i;
      Instance.start(() -> limitMemory(cluster, used.get(index), index, kills, highest), "memory");
    }
    ConcurrentLinkedQueue<Client.Sent> orders = new ConcurrentLinkedQueue<>();
    Instance.start(() -> order(used, orders, threads), "orders");
    for (int wave = 1; wave <= WAVES; wave++) {
      for (Daemon daemon : used) {
        daemon.awaitReady(15_000);
      }
      cluster.note("wave " + wave + ": " + UPLOADS + " uploads to each of 2 machines");
      List<Future<Client.Sent>> uploads = new ArrayList<>();
      for (Daemon daemon : used) {
        for (int i = 0; i < UPLOADS; i++) {
          uploads.add(threads.submit(() -> upload(daemon.front)));
        }
      }
      Map<String, Integer> ends = new TreeMap<>();
      for (Future<Client.Sent> future : uploads) {
        Client.Sent upload = future.get();
        cluster.detail(upload);
        ends.merge(
            upload.end.equals("answered") ? Integer.toString(upload.status) : upload.end,
            1,
            Integer::sum);
      }
      cluster.note("uploads " + ends);
      Thread.sleep(2_000);
    }
    done = true;
    int lost = 0;
    Map<String, Integer> ends = new TreeMap<>();
    for (Client.Sent order : orders) {
      cluster.detail(order);
      boolean answered = order.end.equals("answered");
      ends.merge(answered ? Integer.toString(order.status) : order.end, 1, Integer::sum);
      lost += !answered && cluster.runCount(order.id) > 0 ? 1 : 0;
    }
    cluster.note("orders " + ends + ", " + lost + " of them ran and got no answer");
    int broken = 0;
    for (int i = 0; i < used.size(); i++) {
      cluster.note(
          used.get(i).name
              + ": most memory "
              + highest[i] / 1024
              + " MB, killed for it "
              + kills.get(i)
              + " times");
      broken += kills.get(i) >= WAVES ? 1 : 0;
    }
    cluster.note(broken + " of 4 machines had processes over the limit " + WAVES + " times");
    cluster.finish(broken >= 2 ? 1 : 0);
  }

  /** Kills a process over its memory limit and starts it again, as the platform does. */
  private static void limitMemory(
      Cluster cluster, Daemon daemon, int index, List<Integer> kills, long[] highest) {
    try {
      while (!done) {
        long resident = residentKilobytes(daemon);
        highest[index] = Math.max(highest[index], resident);
        if (resident > MEMORY_KILOBYTES) {
          daemon.signal("KILL");
          daemon.process.waitFor();
          kills.set(index, kills.get(index) + 1);
          cluster.note(daemon.name + " had " + resident / 1024 + " MB and is killed");
          Thread.sleep(500);
          daemon.start();
        }
        Thread.sleep(20);
      }
    } catch (IOException | InterruptedException e) {
      cluster.note("watching " + daemon.name + " failed: " + e);
    }
  }

  private static long residentKilobytes(Daemon daemon) {
    try {
      return Files.readString(Path.of("/proc/" + daemon.process.pid() + "/status"))
          .lines()
          .filter(line -> line.startsWith("VmRSS"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }

  private static void order(
      List<Daemon> used, ConcurrentLinkedQueue<Client.Sent> orders, ExecutorService threads) {
    try {
      for (int i = 0; !done; i++) {
        Daemon daemon = used.get(i % used.size());
        threads.submit(
            () ->
                orders.add(
                    Client.send(daemon.front, "POST", "/orders/1", 6_000, "order".getBytes())));
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Client.Sent upload(String front) {
    Client.Sent sent = new Client.Sent();
    sent.front = front;
    sent.line = "POST /uploads/1";
    sent.sentNanos = System.nanoTime();
    try (Socket socket = Client.connect(front, 1_000)) {
      socket.setSoTimeout((int) DEADLINE_MILLIS);
      // Ends an upload that is no longer read when its client gives up.
      Thread watchdog =
          new Thread(
              () -> {
                try {
                  Thread.sleep(DEADLINE_MILLIS);
                  socket.close();
                } catch (IOException | InterruptedException e) {
                  // The upload ended before.
                }
              });
      watchdog.setDaemon(true);
      watchdog.start();
      OutputStream out = socket.getOutputStream();
      String head =
          "POST /uploads/1 HTTP/1.1\r\nHost: orders.example\r\nVerbenahatch-Request-Id: "
              + sent.id
              + "\r\nVerbenahatch-Deadline-Ms: "
              + DEADLINE_MILLIS
              + "\r\nTransfer-Encoding: chunked\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      byte[] part = new byte[64 * 1024];
      byte[] size = (Integer.toHexString(part.length) + "\r\n").getBytes();
      for (long done = 0; done < UPLOAD_BYTES; done += part.length) {
        out.write(size);
        out.write(part);
        out.write("\r\n".getBytes());
        long due = sent.sentNanos + (done + part.length) * 1_000_000_000L / BYTES_PER_SECOND;
        long wait = (due - System.nanoTime()) / 1_000_000;
        if (wait > 0) {
          Thread.sleep(wait);
        }
      }
      out.write("0\r\n\r\n".getBytes());
      sent.written = true;
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
      sent.status = answer == null ? 0 : answer.status();
      sent.end = answer == null ? "closed without an answer" : "answered";
    } catch (SocketTimeoutException e) {
      sent.end = "gave up at its deadline";
    } catch (IOException | InterruptedException e) {
      sent.end = "cut";
    }
    sent.endNanos = System.nanoTime();
    return sent;
  }
}
