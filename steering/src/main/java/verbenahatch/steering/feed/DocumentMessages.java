package verbenahatch.steering.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import verbenahatch.peer.generated.FeedDocument;
import verbenahatch.peer.generated.FeedObject;
import verbenahatch.peer.generated.FeedPart;
import verbenahatch.peer.generated.FeedRoute;
import verbenahatch.peer.generated.FeedService;
import verbenahatch.peer.generated.FeedWorkspace;
import verbenahatch.steering.model.SteeringDocument;
import verbenahatch.steering.model.SteeringDocument.CallerLimits;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringService;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;

/** Converts environment documents to messages and back. Stateless. */
public final class DocumentMessages implements FeedMessages<SteeringDocument> {

  /** Creates a converter. */
  public DocumentMessages() {}

  @Override
  public void write(SteeringDocument document, FeedObject.Builder builder) {
    CallerLimits limits = document.limits();
    FeedDocument.Builder message =
        FeedDocument.newBuilder()
            .setVersion(document.version())
            .setMaxHeaderBytes(limits.maxHeaderBytes())
            .setMaxBodyBytes(limits.maxBodyBytes())
            .setHeaderTimeoutMillis(limits.headerTimeoutMillis())
            .setIdleTimeoutMillis(limits.idleTimeoutMillis());
    document.routes().forEach(route -> message.addRoutes(route(route)));
    document.services().values().forEach(service -> message.addServices(service(service)));
    document.workspaces().forEach(workspace -> message.addWorkspaces(workspace(workspace)));
    builder.setDocument(message);
  }

  private static FeedRoute route(SteeringRoute route) {
    FeedRoute.Builder message =
        FeedRoute.newBuilder()
            .setName(route.name())
            .setHost(route.host())
            .setPathPrefix(route.pathPrefix())
            .setIdempotent(route.idempotent())
            .setTimeoutMillis(route.timeoutMillis())
            .setTargetLatencyMillis(route.targetLatencyMillis())
            .setPriority(route.priority())
            .setMaxAttempts(route.maxAttempts())
            .setOpen(route.open())
            .addAllHomes(route.allowedRegions());
    for (RoutePart part : route.parts()) {
      message.addParts(FeedPart.newBuilder().setService(part.service()).setWeight(part.weight()));
    }
    return message.build();
  }

  private static FeedService service(SteeringService service) {
    return FeedService.newBuilder()
        .setName(service.name())
        .setMaxConnections(service.maxConnections())
        .setColdStartMillis(service.coldStartMillis())
        .setWarmUpPerSecond(service.warmUpPerSecond())
        .build();
  }

  private static FeedWorkspace workspace(SteeringWorkspace workspace) {
    return FeedWorkspace.newBuilder()
        .setName(workspace.name())
        .addAllKeyHashes(workspace.keyHashes())
        .setPriority(workspace.priority())
        .setRatePerSecond(workspace.ratePerSecond())
        .setBurst(workspace.burst())
        .addAllHomes(workspace.allowedRegions())
        .build();
  }

  @Override
  public SteeringDocument read(FeedObject message) {
    if (!message.hasDocument()) {
      throw new IllegalArgumentException(message.getName() + " holds no document");
    }
    FeedDocument document = message.getDocument();
    List<SteeringRoute> routes = new ArrayList<>();
    for (FeedRoute route : document.getRoutesList()) {
      routes.add(readRoute(route));
    }
    Map<String, SteeringService> services = new HashMap<>();
    for (FeedService service : document.getServicesList()) {
      services.put(
          service.getName(),
          new SteeringService(
              service.getName(),
              service.getMaxConnections(),
              service.getColdStartMillis(),
              service.getWarmUpPerSecond()));
    }
    List<SteeringWorkspace> workspaces = new ArrayList<>();
    for (FeedWorkspace workspace : document.getWorkspacesList()) {
      workspaces.add(
          new SteeringWorkspace(
              workspace.getName(),
              new HashSet<>(workspace.getKeyHashesList()),
              workspace.getPriority(),
              workspace.getRatePerSecond(),
              workspace.getBurst(),
              new HashSet<>(workspace.getHomesList())));
    }
    CallerLimits limits =
        new CallerLimits(
            document.getMaxHeaderBytes(),
            document.getMaxBodyBytes(),
            document.getHeaderTimeoutMillis(),
            document.getIdleTimeoutMillis());
    return new SteeringDocument(document.getVersion(), routes, services, workspaces, limits);
  }

  private static SteeringRoute readRoute(FeedRoute route) {
    List<RoutePart> parts = new ArrayList<>();
    for (FeedPart part : route.getPartsList()) {
      parts.add(new RoutePart(part.getService(), part.getWeight()));
    }
    return new SteeringRoute(
        route.getName(),
        route.getHost(),
        route.getPathPrefix(),
        parts,
        route.getIdempotent(),
        route.getTimeoutMillis(),
        route.getTargetLatencyMillis(),
        route.getPriority(),
        route.getMaxAttempts(),
        route.getOpen(),
        new HashSet<>(route.getHomesList()));
  }
}
