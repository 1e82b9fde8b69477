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

  /** The result of a match. */
  public sealed interface Match {

    /**
     * A route matches path and method.
     *
     * @param route the first such route
     */
    record Found(Route route) implements Match {}

    /** A route matches the path, but none of those has the method. */
    record OtherMethod() implements Match {}

    /** No route matches the path. */
    record None() implements Match {}
  }

  /**
   * Returns the first route that matches a method and a path.
   *
   * @param method the HTTP method
   * @param path the canonical path; null matches no route
   * @return the match
   */
  public Match match(String method, @Nullable String path) {
    boolean pathFound = false;
    if (path == null) {
      return new Match.None();
    }
    for (Route route : routes) {
      if (!matchesPrefix(route.pathPrefix(), path)) {
        continue;
      }
      if (route.methods().contains(method)) {
        return new Match.Found(route);
      }
      pathFound = true;
    }
    return pathFound ? new Match.OtherMethod() : new Match.None();
  }

  // A prefix matches whole segments only, so that an open route /seats does not open /seats-admin.
  private static boolean matchesPrefix(String prefix, String path) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return path.length() == prefix.length()
        || prefix.endsWith("/")
        || path.charAt(prefix.length()) == '/';
  }
}
