package verbenahatch.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import verbenahatch.fleet.Drains;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Json;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Link;

/** Answers {@code GET /v1/entry}: which hosts a caller should use. */
final class EntryAdvice {

  /** The path of the advice. */
  static final String PATH = "/v1/entry";

  private final GatewayContext context;
  private volatile boolean leaving;

  EntryAdvice(GatewayContext context) {
    this.context = context;
  }

  /**
   * Advises one host.
   *
   * @param host the name
   * @param url the base URL
   * @param region the region
   * @param weight the share of requests among hosts of the same distance
   */
  record Entry(String host, String url, String region, double weight) {}

  /**
   * Holds the answer.
   *
   * @param ttlSeconds how long a caller may keep it
   * @param hosts the hosts, nearest first
   */
  record Advice(int ttlSeconds, List<Entry> hosts) {}

  /** Drops this host from its own answers. */
  void leave() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  void handle(Request request, Response response, Callback callback) {
    if (!HttpMethod.GET.is(request.getMethod())) {
      Refusals.write(response, callback, Refusal.METHOD_NOT_ALLOWED, 0);
      return;
    }
    final byte[] body = Json.write(advise(Request.getRemoteAddr(request)));
    response.setStatus(200);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response
        .getHeaders()
        .put(HttpHeader.CACHE_CONTROL, "private, max-age=" + context.settings().adviceSeconds());
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  Advice advise(String clientAddress) {
    String near = context.settings().region();
    Drains drains = context.config().drains();
    Map<String, Double> distance = distances(near);
    List<Member> members = new ArrayList<>();
    for (Member member : context.fleet().members()) {
      if (isAdvised(member, drains)) {
        members.add(member);
      }
    }
    members.sort(
        Comparator.<Member>comparingDouble(
                member -> distance.getOrDefault(member.region(), Double.MAX_VALUE))
            .thenComparing(Member::host));
    List<Entry> entries = new ArrayList<>();
    for (Member member : members) {
      entries.add(new Entry(member.host(), member.entryUrl(), member.region(), 1));
    }
    return new Advice(context.settings().adviceSeconds(), entries);
  }

  private boolean isAdvised(Member member, Drains drains) {
    boolean self = member.incarnation().equals(context.fleet().self().incarnation());
    if (member.leaving() || (self && leaving)) {
      return false;
    }
    if (drains.hosts().contains(member.host()) || drains.zones().contains(member.zone())) {
      return false;
    }
    return self || !context.fleet().isFresh() || context.fleet().isInContact(member.incarnation());
  }

  private Map<String, Double> distances(String near) {
    Map<String, Double> distance = new HashMap<>();
    EnvironmentDocument document = context.config().document().orElse(null);
    if (document != null) {
      for (Link link : document.links()) {
        if (link.from().equals(near)) {
          distance.put(link.to(), link.oneWayMillis());
        }
      }
    }
    distance.put(near, -1.0);
    return distance;
  }
}
