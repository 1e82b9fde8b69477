package verbenahatch.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import verbenahatch.kernel.Result;

/** Dispatches requests to handlers by method and path. */
final class AdminRouter {

  /** Handles the requests with one method and path. */
  interface Handler {
    Result<Object, AdminError> handle(AdminRequest request);
  }

  /** Matches a method and a path; the segment {@code *} matches any segment. */
  private record Route(String method, List<String> path, Handler handler) {
    boolean matchesPath(List<String> segments) {
      if (segments.size() != path.size()) {
        return false;
      }
      for (int i = 0; i < path.size(); i++) {
        if (!path.get(i).equals("*") && !path.get(i).equals(segments.get(i))) {
          return false;
        }
      }
      return true;
    }
  }

  private final List<Route> routes = new ArrayList<>();

  AdminRouter(
      StatusHandlers status,
      EnvironmentHandlers environments,
      KeyHandlers keys,
      DrainHandlers drains,
      ReleaseHandlers releases) {
    add("GET", "status", status::status);
    add("GET", "environments/*", environments::get);
    add("PUT", "environments/*", environments::put);
    add("POST", "environments/*/validate", environments::validate);
    add("GET", "environments/*/diff", environments::diff);
    add("POST", "environments/*/diff", environments::diff);
    add("POST", "environments/*/promote", environments::promote);
    add("GET", "environments/*/keys", keys::list);
    add("POST", "environments/*/keys", keys::issue);
    add("GET", "environments/*/keys/*", keys::status);
    add("DELETE", "environments/*/keys/*", keys::withdraw);
    add("GET", "drains", drains::list);
    add("PUT", "drains/*/*", drains::drain);
    add("DELETE", "drains/*/*", drains::undrain);
    add("GET", "environments/*/releases", releases::list);
    add("POST", "environments/*/releases", releases::start);
    add("GET", "environments/*/releases/*", releases::get);
    add("POST", "environments/*/releases/*/take-back", releases::rollBack);
  }

  private void add(String method, String path, Handler handler) {
    routes.add(new Route(method, List.of(path.split("/")), handler));
  }

  Result<Object, AdminError> handle(AdminRequest request) {
    TreeSet<String> allowedMethods = new TreeSet<>();
    for (Route route : routes) {
      if (!route.matchesPath(request.path())) {
        continue;
      }
      allowedMethods.add(route.method());
      if (route.method().equals(request.method())) {
        Optional<AdminError> nameError =
            request.segment(0).equals("environments")
                ? EnvironmentHandlers.checkName(request.segment(1))
                : Optional.empty();
        return nameError.isPresent()
            ? Result.err(nameError.get())
            : route.handler().handle(request);
      }
    }
    return Result.err(
        allowedMethods.isEmpty()
            ? new AdminError.NotFound("path /v1/" + String.join("/", request.path()))
            : new AdminError.WrongMethod(String.join(", ", allowedMethods)));
  }
}
