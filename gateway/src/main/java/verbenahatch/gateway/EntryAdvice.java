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
import verbenahatch.model.EnvironmentDocument.ClientBlock;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.routing.Block;
import verbenahatch.routing.BlockTable;

/** Answers {@code GET /v1/entry}: which hosts a caller should use. */
final class EntryAdvice {

  /** The path of the advice. */
  static final String PATH = "/v1/entry";

  private final GatewayContext context;
  private volatile Clients clients = new Clients(List.of(), List.of(), BlockTable.EMPTY);
  private volatile boolean leaving;

  EntryAdvice(GatewayContext context) {
    this.context = context;
    context.config().document().ifPresent(this::update);
    context.config().onChange(this::update);
  }

  /**
   * Holds what a document says about clients.
   *
   * @param clients the blocks that the table was built from
   * @param regions the regions; the site of a region is its index plus one
   * @param blocks the table
   */
  private record Clients(List<ClientBlock> clients, List<String> regions, BlockTable blocks) {}

  private synchronized void update(EnvironmentDocument document) {
    List<String> regions = document.regions().stream().map(Region::name).toList();
    Clients old = clients;
    if (document.clients().equals(old.clients()) && regions.equals(old.regions())) {
      return;
    }
    List<Block> blocks = new ArrayList<>();
    for (ClientBlock client : document.clients()) {
      blocks.add(Block.parse(client.block(), regions.indexOf(client.region()) + 1));
    }
    clients = new Clients(document.clients(), regions, BlockTable.of(blocks));
  }

  /**
   * Finds the region nearest to a caller.
   *
   * @param address the caller's IP number
   * @return the region of its block, the own region if no block has it
   */
  private String nearestRegion(String address) {
    Clients now = clients;
    if (address.indexOf(':') >= 0) {
      return context.settings().region();
    }
    int site = now.blocks().siteOf(Block.parseAddress(address));
    return site == 0 ? context.settings().region() : now.regions().get(site - 1);
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
    String near = nearestRegion(clientAddress);
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
