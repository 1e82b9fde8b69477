package verbenahatch.store;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * Pools connections and can close all idle ones.
 *
 * <p>Open connections can permanently stop delivering data while new ones work. After a timeout the
 * idle connections are therefore suspect too, and each of them could cost a further timeout.
 */
final class StoreConnectionPool extends DuplexConnectionPool {

  private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();

  StoreConnectionPool(Destination destination, int maxConnections) {
    super(destination, maxConnections);
  }

  void closeIdle() {
    for (Connection connection : List.copyOf(openConnections)) {
      if (!isActive(connection)) {
        remove(connection);
        connection.close();
      }
    }
  }

  @Override
  protected void onCreated(Connection connection) {
    // The client may open a connection that no request uses, so only this callback receives every
    // connection.
    openConnections.add(connection);
    super.onCreated(connection);
  }

  @Override
  protected void onRemoved(Connection connection) {
    openConnections.remove(connection);
    super.onRemoved(connection);
  }
}
