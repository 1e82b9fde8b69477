import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * REFUSED: a process is suspended while the heads of unsafe requests arrive in two parts, and goes
 * on. Some of them are answered 408 and run.
 */
final class RefusedAfterFreeze {
  private static final int ROUNDS = 20;
  private static final int CLIENTS = 100;
  private static final long HEAD_PAUSE_MILLIS = 500;
  private static final long FREEZE_MILLIS = 3_500;

  private record Pending(String id, Socket socket) {}

  public static void main(String[] args) throws Exception {
    Cluster cluster = new Cluster();
    cluster.route("orders", "/orders/", "unsafe", "6000ms", "order-desk", 2);
    cluster.service("order-desk");
    cluster.limits("15000ms");
    cluster.writeConfig("00000001");
    cluster.instances("order-desk", 8, 12, request -> 200);
    cluster.daemons(10);
    cluster.startAll();
    Daemon daemon = cluster.daemons.get(0);
    for (int i = 0; i < 10; i++) {
      Client.send(daemon.front, "POST", "/orders/1", 6_000, "order".getBytes());
    }
    int broken = 0;
    int unanswered = 0;
    for (int round = 1; round <= ROUNDS && broken == 0; round++) {
      List<Pending> pending = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        Client.Sent names = new Client.Sent();
        Socket socket = Client.connect(daemon.front, 1_000);
        write(
            socket,
            "POST /orders/1 HTTP/1.1\r\nHost: orders.example\r\nVerbenahatch-Request-Id: "
                + names.id
                + "\r\n");
        pending.add(new Pending(names.id, socket));
      }
      Thread.sleep(HEAD_PAUSE_MILLIS);
      if (Cluster.TROUBLE) {
        daemon.signal("STOP");
        cluster.note("round " + round + ": " + daemon.name + " is suspended");
      }
      for (Pending request : pending) {
        write(request.socket, "Verbenahatch-Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\norder");
      }
      if (Cluster.TROUBLE) {
        Thread.sleep(FREEZE_MILLIS);
        daemon.signal("CONT");
      }
      Map<String, Integer> results = new TreeMap<>();
      for (Pending request : pending) {
        String end = end(request.socket);
        int runs = cluster.runCount(request.id);
        cluster.record.append(
            "  request " + request.id + ": " + end + ", runs " + runs + System.lineSeparator());
        results.merge(end + ", runs " + runs, 1, Integer::sum);
        if (end.equals("no answer")) {
          unanswered++;
        }
        if (end.equals("408") || end.equals("429") || end.equals("503")) {
          Thread.sleep(runs > 0 ? 0 : 5);
          if (cluster.runCount(request.id) > 0) {
            broken++;
            cluster.note(
                "request "
                    + request.id
                    + " (unsafe): answered "
                    + end
                    + ", and ran at "
                    + cluster.runOf(request.id).instance
                    + " at "
                    + cluster.seconds(cluster.runOf(request.id).startNanos));
          }
        }
      }
      cluster.note("round " + round + " " + results);
    }
    cluster.note(broken + " unsafe requests were answered with a promise and ran");
    cluster.finish(broken > 0 ? 1 : unanswered > 0 && !Cluster.TROUBLE ? 2 : 0);
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String end(Socket socket) {
    try (socket) {
      socket.setSoTimeout(7_000);
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
      return answer == null ? "no answer" : Integer.toString(answer.status());
    } catch (IOException e) {
      return "no answer";
    }
  }
}
