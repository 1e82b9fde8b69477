package verbenahatch.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Passes bytes on until it is told to drop those of the connections that are open by then. */
final class SwallowingRelay implements AutoCloseable {

  private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
  private final PeerAddress target;
  private final List<AtomicBoolean> swallowing = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  SwallowingRelay(PeerAddress target) throws IOException {
    this.target = target;
    start(this::accept);
  }

  PeerAddress address() {
    return new PeerAddress("127.0.0.1", server.getLocalPort());
  }

  int connections() {
    return swallowing.size();
  }

  void swallowOpenConnections() {
    swallowing.forEach(flag -> flag.set(true));
  }

  private void accept() throws IOException {
    while (true) {
      Socket left = server.accept();
      Socket right = new Socket(target.address(), target.port());
      AtomicBoolean swallow = new AtomicBoolean();
      sockets.addAll(List.of(left, right));
      swallowing.add(swallow);
      start(() -> pump(left, right, swallow));
      start(() -> pump(right, left, swallow));
    }
  }

  private static void pump(Socket from, Socket to, AtomicBoolean swallow) throws IOException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    byte[] buffer = new byte[8192];
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      if (!swallow.get()) {
        out.write(buffer, 0, count);
      }
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The sockets were closed at the end of the test.
              }
            },
            "relay");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
