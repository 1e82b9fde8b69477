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

/** Serves {@code GET /v1/entry}, which lists the hosts that a caller should use. */
final class EntryAdvice {

  /** The URL path of the advice. */
  static final String PATH = "/v1/entry";

  private final GatewayContext context;
  private volatile ClientRegions clients =
      new ClientRegions(List.of(), List.of(), BlockTable.EMPTY);
  private volatile boolean thisHostExcluded;

  EntryAdvice(GatewayContext context) {
    this.context = context;
    context.config().document().ifPresent(this::update);
    context.config().onChange(this::update);
  }

  /**
   * Client address blocks and their regions, taken from one document.
   *
   * @param clients the blocks that the table was built from
   * @param regions the regions; the site of a region is its index plus one
   * @param blocks the table from address blocks to sites
   */
  private record ClientRegions(
      List<ClientBlock> clients, List<String> regions, BlockTable blocks) {}

  private synchronized void update(EnvironmentDocument document) {
    List<String> regions = document.regions().stream().map(Region::name).toList();
    ClientRegions previous = clients;
    if (document.clients().equals(previous.clients()) && regions.equals(previous.regions())) {
      return;
    }
    List<Block> blocks = new ArrayList<>();
    for (ClientBlock client : document.clients()) {
      blocks.add(Block.parse(client.block(), regions.indexOf(client.region()) + 1));
    }
    clients = new ClientRegions(document.clients(), regions, BlockTable.of(blocks));
  }

  /**
   * Returns the region nearest to a caller. IPv6 callers get the region of this host.
   *
   * @param address the caller's IP address
   * @return the region of the block that contains the address; the region of this host if none does
   */
  private String nearestRegion(String address) {
    ClientRegions current = clients;
    if (address.indexOf(':') >= 0) {
      return context.settings().region();
    }
    int site = current.blocks().siteOf(Block.parseAddress(address));
    return site == 0 ? context.settings().region() : current.regions().get(site - 1);
  }

  /**
   * One host of the advice.
   *
   * @param host the name of the host
   * @param url the base URL for requests of callers
   * @param region the region of the host
   * @param weight the relative share of requests among hosts at the same distance
   */
  record Entry(String host, String url, String region, double weight) {}

  /**
   * The body of the response.
   *
   * @param ttlSeconds how long a caller may cache the advice, in seconds
   * @param hosts the hosts, nearest first
   */
  record Advice(int ttlSeconds, List<Entry> hosts) {}

  /** Excludes this host from the advice that it gives. */
  void excludeThisHost() {
    thisHostExcluded = true;
  }

  boolean isThisHostExcluded() {
    return thisHostExcluded;
  }

  void handle(Request request, Response response, Callback callback) {
    if (!HttpMethod.GET.is(request.getMethod())) {
      RefusalWriter.write(response, callback, Refusal.METHOD_NOT_ALLOWED, 0);
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
    String callerRegion = nearestRegion(clientAddress);
    Drains drains = context.config().drains();
    Map<String, Double> distanceByRegion = distances(callerRegion);
    List<Member> members = new ArrayList<>();
    for (Member member : context.fleet().members()) {
      if (isAdvised(member, drains)) {
        members.add(member);
      }
    }
    members.sort(
        Comparator.<Member>comparingDouble(
                member -> distanceByRegion.getOrDefault(member.region(), Double.MAX_VALUE))
            .thenComparing(Member::host));
    List<Entry> entries = new ArrayList<>();
    for (Member member : members) {
      entries.add(new Entry(member.host(), member.entryUrl(), member.region(), 1));
    }
    return new Advice(context.settings().adviceSeconds(), entries);
  }

  private boolean isAdvised(Member member, Drains drains) {
    boolean isSelf = member.incarnation().equals(context.fleet().self().incarnation());
    if (member.leaving() || (isSelf && thisHostExcluded)) {
      return false;
    }
    if (drains.hosts().contains(member.host()) || drains.zones().contains(member.zone())) {
      return false;
    }
    return isSelf
        || !context.fleet().isFresh()
        || context.fleet().isInContact(member.incarnation());
  }

  private Map<String, Double> distances(String callerRegion) {
    Map<String, Double> distanceByRegion = new HashMap<>();
    EnvironmentDocument document = context.config().document().orElse(null);
    if (document != null) {
      for (Link link : document.links()) {
        if (link.from().equals(callerRegion)) {
          distanceByRegion.put(link.to(), link.oneWayMillis());
        }
      }
    }
    distanceByRegion.put(callerRegion, -1.0);
    return distanceByRegion;
  }
}
