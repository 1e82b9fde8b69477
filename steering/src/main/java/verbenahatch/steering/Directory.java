package verbenahatch.steering;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.routing.HostAdvice;
import verbenahatch.routing.HostAdvice.Candidate;
import verbenahatch.steering.model.SteeringSettings.HostCapacity;
import verbenahatch.steering.model.WireProtocol;
import verbenahatch.steering.model.WireProtocol.DirectoryQuery;

/**
 * Serves callers the addresses of the hosts to which they should connect.
 *
 * <p>Lists hosts of the caller's region that are alive, ready and not leaving, each as often as its
 * machine can carry callers; lists those of other regions only if there are none.
 */
final class Directory {

  /** Time for which callers may cache a response; a failed host is in none after that. */
  private static final long TIME_TO_LIVE_MILLIS = 2_000;

  /**
   * Hosts whose last heartbeat is older are not listed: a host may be listed for at most 6 s after
   * it ended, of which cached responses take two.
   */
  private static final long MAX_HEARTBEAT_AGE_MILLIS = 3_500;

  private final SteeringState state;
  private final WireProtocol wire;

  Directory(SteeringState state, WireProtocol wire) {
    this.state = state;
    this.wire = wire;
  }

  void handle(Request request, Response response, Callback callback) {
    if (!wire.isDirectoryPath(request.getHttpURI().getPath())) {
      EntryServer.respond(response, callback, 404, "text/plain", "not a directory path");
      return;
    }
    DirectoryQuery query = wire.readDirectoryQuery(Request.extractQueryParameters(request));
    List<String> addresses = addresses(query.region());
    if (addresses.isEmpty()) {
      EntryServer.respond(response, callback, 503, "text/plain", "no host is ready");
      return;
    }
    long ttlMillis = Math.min(TIME_TO_LIVE_MILLIS, state.settings.bounds().directoryTtlMillis());
    byte[] body = wire.writeDirectoryResponse(addresses, Duration.ofMillis(ttlMillis));
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Returns the addresses that a caller of a region should use, in random order. */
  List<String> addresses(String region) {
    List<Candidate> sameRegion = new ArrayList<>();
    List<Candidate> otherRegions = new ArrayList<>();
    if (state.isReady()) {
      HostCapacity own = state.settings.capacity();
      (state.settings.region().equals(region) ? sameRegion : otherRegions)
          .add(new Candidate(state.settings.callers(), own.cores(), own.linkMbps()));
    }
    for (HostBeat beat : state.hosts.heartbeatsWithin(MAX_HEARTBEAT_AGE_MILLIS)) {
      if (beat.getReady() && !beat.getLeaving()) {
        (beat.getRegion().equals(region) ? sameRegion : otherRegions)
            .add(new Candidate(beat.getCallersAddress(), beat.getCores(), beat.getLinkMbps()));
      }
    }
    Random random = ThreadLocalRandom.current();
    List<String> selected =
        HostAdvice.select(sameRegion.isEmpty() ? otherRegions : sameRegion, random::nextDouble);
    Collections.shuffle(selected, random);
    return selected.size() > wire.maxDirectoryAddresses()
        ? List.copyOf(selected.subList(0, wire.maxDirectoryAddresses()))
        : selected;
  }
}
