package verbenahatch.limits;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32;
import verbenahatch.model.EnvironmentDocument;

/**
 * Defines the fleet-wide total of one limit.
 *
 * @param name the name, for example {@code workspace/north}
 * @param kind what one token represents
 * @param rate the refill rate of the whole fleet in millionths of a token per second, 0 for slots
 * @param burst the burst of the whole fleet in millionths of a token; the capacity for slots
 */
public record LimitSpec(String name, LimitKind kind, long rate, long burst) {

  /** Number of groups of limits; each group has its own coordinator. */
  public static final int GROUPS = 8;

  /** Largest number of bytes that one admission takes from a link at once. */
  public static final long CHUNK_BYTES = 64 * 1024;

  /**
   * Smallest burst of a link in chunks. With 16, nine hosts that were offered 1.25 times a limit of
   * 280 Mbit/s carried only 86% of it, because full buckets discarded refilled tokens.
   */
  static final long LINK_BURST_CHUNKS = 32;

  /**
   * Burst of a link in seconds of traffic at its limit. Waiting requests are served every 10 ms, so
   * a bucket must be able to hold the tokens that it refills in that time.
   */
  static final double LINK_BURST_SECONDS = 0.05;

  /**
   * Largest rate or burst, a billion tokens; keeps the product of a rate and 1,000 s within 64
   * bits.
   */
  private static final double MAX_MILLIONTHS = 1e15;

  /**
   * Returns the name of the request limit of a workspace.
   *
   * @param workspace the name of the workspace
   * @return the name of the limit
   */
  public static String ofWorkspace(String workspace) {
    return "workspace/" + workspace;
  }

  /**
   * Returns the name of the bandwidth limit of a link.
   *
   * @param from the sending region
   * @param to the receiving region
   * @return the name of the limit
   */
  public static String ofLink(String from, String to) {
    return "link/" + from + "/" + to;
  }

  /**
   * Returns the name of the capacity limit of a region.
   *
   * @param region the name of the region
   * @return the name of the limit
   */
  public static String ofRegion(String region) {
    return "region/" + region;
  }

  /**
   * Returns the group that a limit belongs to. The result is the same on every host.
   *
   * @param name the name of the limit
   * @return the group, from 0 to {@link #GROUPS} - 1
   */
  public static int groupOf(String name) {
    CRC32 checksum = new CRC32();
    checksum.update(name.getBytes(StandardCharsets.UTF_8));
    return (int) (checksum.getValue() % GROUPS);
  }

  /**
   * Returns the limits that an environment document defines.
   *
   * @param document the document
   * @return the limits by name, in the order of the document
   */
  public static Map<String, LimitSpec> of(EnvironmentDocument document) {
    Map<String, LimitSpec> specs = new LinkedHashMap<>();
    for (EnvironmentDocument.Workspace workspace : document.workspaces()) {
      add(
          specs,
          ofWorkspace(workspace.name()),
          LimitKind.REQUESTS,
          workspace.ratePerSecond(),
          workspace.burst());
    }
    for (EnvironmentDocument.Link link : document.links()) {
      double bytes = link.megabitsPerSecond() * 1e6 / 8;
      double burst = Math.max(LINK_BURST_CHUNKS * CHUNK_BYTES, bytes * LINK_BURST_SECONDS);
      add(specs, ofLink(link.from(), link.to()), LimitKind.BYTES, bytes, burst);
    }
    for (EnvironmentDocument.Region region : document.regions()) {
      add(specs, ofRegion(region.name()), LimitKind.SLOTS, 0, region.capacity());
    }
    return specs;
  }

  /**
   * Returns a limit of zero, for a name that the document does not contain or no longer contains.
   */
  static LimitSpec absent(String name) {
    LimitKind kind =
        name.startsWith("link/")
            ? LimitKind.BYTES
            : name.startsWith("region/") ? LimitKind.SLOTS : LimitKind.REQUESTS;
    return new LimitSpec(name, kind, 0, 0);
  }

  private static void add(
      Map<String, LimitSpec> specs, String name, LimitKind kind, double rate, double burst) {
    specs.put(name, new LimitSpec(name, kind, millionths(rate), millionths(burst)));
  }

  private static long millionths(double tokens) {
    return (long) Math.floor(Math.min(MAX_MILLIONTHS, Math.max(0, tokens * Share.TOKEN)));
  }

  /**
   * Returns the unit in which bursts are allocated, so that no host holds less than one admission
   * needs.
   *
   * @return millionths of a token
   */
  long quantum() {
    return kind == LimitKind.BYTES ? CHUNK_BYTES * Share.TOKEN : Share.TOKEN;
  }
}
