package verbenahatch.release;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.TreeMap;
import verbenahatch.peer.generated.EvidenceReport;
import verbenahatch.peer.generated.RouteEvidence;

/** Encodes and decodes the evidence of one host as a protobuf message. */
final class EvidenceCodec {

  /** A decoded report: the id of a release and its counts by route name. */
  record Report(String release, Map<String, RouteCounts> counts) {}

  private EvidenceCodec() {}

  static byte[] encode(String release, Map<String, RouteCounts> counts) {
    EvidenceReport.Builder report = EvidenceReport.newBuilder().setRelease(release);
    counts.forEach(
        (route, count) ->
            report.addRoutes(
                RouteEvidence.newBuilder()
                    .setRoute(route)
                    .setNewRequests(count.newRequests())
                    .setNewFailures(count.newFailures())
                    .setNewSlow(count.newSlow())
                    .setOldRequests(count.oldRequests())
                    .setOldFailures(count.oldFailures())
                    .setOldSlow(count.oldSlow())));
    return report.build().toByteArray();
  }

  static Report decode(byte[] bytes) throws InvalidProtocolBufferException {
    EvidenceReport report = EvidenceReport.parseFrom(bytes);
    Map<String, RouteCounts> counts = new TreeMap<>();
    for (RouteEvidence route : report.getRoutesList()) {
      counts.put(
          route.getRoute(),
          new RouteCounts(
              route.getNewRequests(),
              route.getNewFailures(),
              route.getNewSlow(),
              route.getOldRequests(),
              route.getOldFailures(),
              route.getOldSlow()));
    }
    return new Report(report.getRelease(), counts);
  }
}
