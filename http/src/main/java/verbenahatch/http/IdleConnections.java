package verbenahatch.http;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;

/** Closes pooled connections that are not used by any request. */
public final class IdleConnections {

  private IdleConnections() {}

  /**
   * Closes all idle connections to one address.
   *
   * @param client the client that pools the connections
   * @param address the IP address
   * @param port the TCP port
   * @return the number of connections closed
   */
  public static int close(HttpClient client, String address, int port) {
    int closed = 0;
    for (Destination destination : client.getDestinations()) {
      Origin.Address origin = destination.getOrigin().getAddress();
      if (origin.getPort() == port && origin.getHost().equals(address)) {
        closed += close(destination.getConnectionPool());
      }
    }
    return closed;
  }

  private static int close(ConnectionPool pool) {
    if (!(pool instanceof AbstractConnectionPool connections)) {
      return 0;
    }
    List<Connection> idle = new ArrayList<>();
    int idleCount = connections.getIdleConnectionCount();
    while (idle.size() < idleCount) {
      Connection connection = connections.acquire(false);
      if (connection == null) {
        break;
      }
      idle.add(connection);
    }
    for (Connection connection : idle) {
      connections.remove(connection);
      connection.close();
    }
    return idle.size();
  }
}
