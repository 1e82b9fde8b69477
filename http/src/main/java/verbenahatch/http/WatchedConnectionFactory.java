package verbenahatch.http;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.util.Attributes;

/**
 * Creates HTTP/1.1 connections on which {@link CallerWatch} can detect a disconnect and whose
 * requests pass a {@link DispatchGate}.
 */
public final class WatchedConnectionFactory extends HttpConnectionFactory {

  /**
   * Creates a factory.
   *
   * @param configuration the configuration of the connections
   */
  public WatchedConnectionFactory(HttpConfiguration configuration) {
    super(configuration);
  }

  @Override
  public Connection newConnection(Connector connector, EndPoint endPoint) {
    Connection connection =
        super.newConnection(connector, new ReadAheadEndPoint(endPoint, connector.getExecutor()));
    if (connection instanceof Attributes attributes) {
      new DispatchGate().attach(attributes);
    }
    return connection;
  }
}
