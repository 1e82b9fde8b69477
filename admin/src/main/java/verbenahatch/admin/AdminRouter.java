package verbenahatch.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import verbenahatch.kernel.Result;

/** Finds the handler of a call by method and path. */
final class AdminRouter {

  /** Answers one kind of call. */
  interface Handler {
    Result<Object, AdminError> answer(AdminCall call);
  }

  /** Matches a method and a path; {@code *} matches any segment. */
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
      StatusCalls status,
      EnvironmentCalls environments,
      KeyCalls keys,
      DrainCalls drains,
      ReleaseCalls releases) {
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
    add("POST", "environments/*/releases/*/take-back", releases::takeBack);
  }

  private void add(String method, String path, Handler handler) {
    routes.add(new Route(method, List.of(path.split("/")), handler));
  }

  Result<Object, AdminError> answer(AdminCall call) {
    TreeSet<String> allowed = new TreeSet<>();
    for (Route route : routes) {
      if (!route.matchesPath(call.path())) {
        continue;
      }
      allowed.add(route.method());
      if (route.method().equals(call.method())) {
        Optional<AdminError> badName =
            call.segment(0).equals("environments")
                ? EnvironmentCalls.checkName(call.segment(1))
                : Optional.empty();
        return badName.isPresent() ? Result.err(badName.get()) : route.handler().answer(call);
      }
    }
    return Result.err(
        allowed.isEmpty()
            ? new AdminError.NotFound("path /v1/" + String.join("/", call.path()))
            : new AdminError.WrongMethod(String.join(", ", allowed)));
  }
}
