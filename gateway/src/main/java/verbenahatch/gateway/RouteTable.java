package verbenahatch.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument.Route;

/** Finds the route of a request. Immutable. */
public final class RouteTable {

  private final List<Route> routes;

  /**
   * Creates a table.
   *
   * @param routes the routes in order of preference
   */
  public RouteTable(List<Route> routes) {
    this.routes = List.copyOf(routes);
  }

  /** Tells which route matches. */
  public sealed interface Match {

    /**
     * A route matches.
     *
     * @param route the route
     */
    record Found(Route route) implements Match {}

    /** A route has the path but not the method. */
    record OtherMethod() implements Match {}

    /** No route has the path. */
    record None() implements Match {}
  }

  /**
   * Finds the first route with a method and a path.
   *
   * @param method the HTTP method
   * @param path the canonical path, null counts as no path
   * @return the match
   */
  public Match match(String method, @Nullable String path) {
    boolean pathFound = false;
    if (path == null) {
      return new Match.None();
    }
    for (Route route : routes) {
      if (!covers(route.pathPrefix(), path)) {
        continue;
      }
      if (route.methods().contains(method)) {
        return new Match.Found(route);
      }
      pathFound = true;
    }
    return pathFound ? new Match.OtherMethod() : new Match.None();
  }

  // A prefix ends at a segment, so that an open route /seats does not open /seats-admin.
  private static boolean covers(String prefix, String path) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return path.length() == prefix.length()
        || prefix.endsWith("/")
        || path.charAt(prefix.length()) == '/';
  }
}
