package verbenahatch.steering;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.WireProtocol;
import verbenahatch.steering.model.WireProtocol.DirectoryQuery;

/**
 * Tells callers to which hosts they should connect.
 *
 * <p>It names hosts of the caller's region that are heard, ready and not about to leave; only if
 * there are none, those of other regions.
 */
final class Directory {

  /** Answers are used for this time; a host that dies is named in no cached answer after it. */
  private static final long TIME_TO_LIVE_MILLIS = 2_000;

  /**
   * A host whose last beat is older is not named: the terms allow 6 s after its end, of which
   * cached answers take two.
   */
  private static final long HEARD_MILLIS = 3_500;

  private final SteeringState state;
  private final WireProtocol wire;

  Directory(SteeringState state, WireProtocol wire) {
    this.state = state;
    this.wire = wire;
  }

  void handle(Request request, Response response, Callback callback) {
    if (!wire.isDirectoryPath(request.getHttpURI().getPath())) {
      EntryServer.answer(response, callback, 404, "text/plain", "not a directory path");
      return;
    }
    DirectoryQuery query = wire.readDirectoryQuery(Request.extractQueryParameters(request));
    List<String> addresses = addresses(query.region());
    if (addresses.isEmpty()) {
      EntryServer.answer(response, callback, 503, "text/plain", "no host is ready");
      return;
    }
    long ttl = Math.min(TIME_TO_LIVE_MILLIS, state.settings.bounds().directoryTtlMillis());
    byte[] body = wire.writeDirectoryResponse(addresses, Duration.ofMillis(ttl));
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Returns the hosts that a caller of a region should use. */
  List<String> addresses(String region) {
    List<String> near = new ArrayList<>();
    List<String> far = new ArrayList<>();
    if (state.isReady()) {
      (state.settings.region().equals(region) ? near : far).add(state.settings.callers());
    }
    for (HostBeat beat : state.hosts.heardWithin(HEARD_MILLIS)) {
      if (beat.getReady() && !beat.getLeaving()) {
        (beat.getRegion().equals(region) ? near : far).add(beat.getCallersAddress());
      }
    }
    List<String> named = near.isEmpty() ? far : near;
    Collections.shuffle(named, ThreadLocalRandom.current());
    return named.size() > wire.maxDirectoryAddresses()
        ? List.copyOf(named.subList(0, wire.maxDirectoryAddresses()))
        : named;
  }
}
