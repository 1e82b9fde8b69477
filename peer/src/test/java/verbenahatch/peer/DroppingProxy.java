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

/** Forwards bytes; after {@link #dropOnOpenConnections()} drops those of the open connections. */
final class DroppingProxy implements AutoCloseable {

  private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
  private final PeerAddress target;
  private final List<AtomicBoolean> dropFlags = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  DroppingProxy(PeerAddress target) throws IOException {
    this.target = target;
    start(this::accept);
  }

  PeerAddress address() {
    return new PeerAddress("127.0.0.1", server.getLocalPort());
  }

  int connections() {
    return dropFlags.size();
  }

  void dropOnOpenConnections() {
    dropFlags.forEach(drop -> drop.set(true));
  }

  private void accept() throws IOException {
    while (true) {
      Socket clientSocket = server.accept();
      Socket targetSocket = new Socket(target.address(), target.port());
      AtomicBoolean drop = new AtomicBoolean();
      sockets.addAll(List.of(clientSocket, targetSocket));
      dropFlags.add(drop);
      start(() -> forward(clientSocket, targetSocket, drop));
      start(() -> forward(targetSocket, clientSocket, drop));
    }
  }

  private static void forward(Socket from, Socket to, AtomicBoolean drop) throws IOException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    byte[] buffer = new byte[8192];
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      if (!drop.get()) {
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
            "dropping-proxy");
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
