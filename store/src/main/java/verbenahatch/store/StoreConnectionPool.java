package verbenahatch.store;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.jspecify.annotations.Nullable;

/**
 * Pools connections and can close all idle ones.
 *
 * <p>Open connections can go silent for good while new ones work. After a timeout the idle ones are
 * suspect too, and each of them would cost a further timeout.
 */
final class StoreConnectionPool extends DuplexConnectionPool {

  private final Set<Connection> idle = ConcurrentHashMap.newKeySet();

  StoreConnectionPool(Destination destination, int maxConnections) {
    super(destination, maxConnections);
  }

  void closeIdle() {
    for (Connection connection : List.copyOf(idle)) {
      if (idle.remove(connection)) {
        remove(connection);
        connection.close();
      }
    }
  }

  @Override
  protected @Nullable Connection activate() {
    Connection connection = super.activate();
    if (connection != null) {
      idle.remove(connection);
    }
    return connection;
  }

  @Override
  protected boolean deactivate(Connection connection) {
    boolean kept = super.deactivate(connection);
    if (kept) {
      idle.add(connection);
    }
    return kept;
  }

  @Override
  protected void onRemoved(Connection connection) {
    idle.remove(connection);
    super.onRemoved(connection);
  }
}
