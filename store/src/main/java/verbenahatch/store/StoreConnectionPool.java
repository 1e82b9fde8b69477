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
 * <p>Open connections can go silent for good while new ones work. After a timeout the idle ones are
 * suspect too, and each of them would cost a further timeout.
 */
final class StoreConnectionPool extends DuplexConnectionPool {

  private final Set<Connection> open = ConcurrentHashMap.newKeySet();

  StoreConnectionPool(Destination destination, int maxConnections) {
    super(destination, maxConnections);
  }

  void closeIdle() {
    for (Connection connection : List.copyOf(open)) {
      if (!isActive(connection)) {
        remove(connection);
        connection.close();
      }
    }
  }

  @Override
  protected void onCreated(Connection connection) {
    // The client may open a connection that no request takes, so only creation sees every one.
    open.add(connection);
    super.onCreated(connection);
  }

  @Override
  protected void onRemoved(Connection connection) {
    open.remove(connection);
    super.onRemoved(connection);
  }
}
