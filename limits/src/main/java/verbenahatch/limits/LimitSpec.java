package verbenahatch.limits;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32;
import verbenahatch.model.EnvironmentDocument;

/**
 * States the total of one limit.
 *
 * @param name the name, for example {@code workspace/north}
 * @param kind what a token is
 * @param rate the total rate in millionths of a token per second, 0 for slots
 * @param burst the total burst in millionths of a token
 */
public record LimitSpec(String name, LimitKind kind, long rate, long burst) {

  /** Number of groups of limits; each group has its own home. */
  public static final int GROUPS = 8;

  /** Largest number of bytes that one admission takes from a link at once. */
  public static final long CHUNK_BYTES = 64 * 1024;

  /**
   * Smallest burst of a link in chunks. With 16, nine hosts that offered 1.25 times a cap of 280
   * Mbit/s carried only 86% of it, because full buckets lost what they earned.
   */
  static final long LINK_BURST_CHUNKS = 32;

  /**
   * Burst of a link as time at its cap. Waiting work is served every 10 ms, so a host must be able
   * to hold what it earns in that time.
   */
  static final double LINK_BURST_SECONDS = 0.05;

  /** Keeps products of a rate and 1,000 s inside 64 bits; a billion tokens a second. */
  private static final double LARGEST = 1e15;

  /**
   * Names the limit of a workspace.
   *
   * @param workspace the name of the workspace
   * @return the name of the limit
   */
  public static String ofWorkspace(String workspace) {
    return "workspace/" + workspace;
  }

  /**
   * Names the limit of a link.
   *
   * @param from the sending region
   * @param to the receiving region
   * @return the name of the limit
   */
  public static String ofLink(String from, String to) {
    return "link/" + from + "/" + to;
  }

  /**
   * Names the limit of a region.
   *
   * @param region the name of the region
   * @return the name of the limit
   */
  public static String ofRegion(String region) {
    return "region/" + region;
  }

  /**
   * Returns the group that a limit belongs to; the same on every host.
   *
   * @param name the name of the limit
   * @return between 0 and {@link #GROUPS} - 1
   */
  public static int groupOf(String name) {
    CRC32 sum = new CRC32();
    sum.update(name.getBytes(StandardCharsets.UTF_8));
    return (int) (sum.getValue() % GROUPS);
  }

  /**
   * Reads the limits that an environment document states.
   *
   * @param document the document
   * @return the limits by name
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

  /** Returns a limit of zero, for a name that the document does not state (any more). */
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
    return (long) Math.floor(Math.min(LARGEST, Math.max(0, tokens * Share.TOKEN)));
  }

  /**
   * Returns the amount in which bursts are divided, so that no host holds less than one admission
   * needs.
   *
   * @return millionths of a token
   */
  long quantum() {
    return kind == LimitKind.BYTES ? CHUNK_BYTES * Share.TOKEN : Share.TOKEN;
  }
}
