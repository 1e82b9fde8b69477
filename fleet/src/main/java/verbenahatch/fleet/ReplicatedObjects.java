package verbenahatch.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Hashing;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;

/**
 * Holds the newest known value of each object that hosts replicate among each other.
 *
 * <p>Only a higher generation is adopted, regardless of its source. Thread-safe.
 */
final class ReplicatedObjects {

  /**
   * A value of an object.
   *
   * @param name the name of the object
   * @param generation the generation of the value, from 1 on
   * @param value the value in JSON
   */
  record ObjectValue(String name, long generation, byte[] value) {
    @Override
    public String toString() {
      return name + "@" + generation;
    }
  }

  /** Validates and applies a value before it counts as adopted. */
  @FunctionalInterface
  interface Adopter {
    void adopt(byte[] value) throws JsonException;
  }

  /** Name in events of the source of values read from the store. */
  static final String STORE = "the store";

  private static final String RELEASE_PREFIX = "release/";

  private final Events events;
  private final Map<String, Adopter> adopters;
  private final Map<String, ObjectValue> valuesByName = new ConcurrentHashMap<>();
  private final Map<String, Long> reportedOlderGenerations = new ConcurrentHashMap<>();
  private volatile long digest;

  /**
   * Creates an empty holder.
   *
   * @param adopters the adopters of values by exact name; {@code release/*} are held without one
   */
  ReplicatedObjects(Events events, Map<String, Adopter> adopters) {
    this.events = events;
    this.adopters = Map.copyOf(adopters);
  }

  /** Returns whether objects of this name are replicated. */
  boolean isReplicated(String name) {
    return adopters.containsKey(name) || name.startsWith(RELEASE_PREFIX);
  }

  /** Returns the prefixes of the store that contain these objects. */
  List<String> prefixes() {
    return List.of("environment/", "keys/", "drains/", Halts.NAME, RELEASE_PREFIX);
  }

  /**
   * Adopts a value if its generation is higher than the one in force.
   *
   * @param name the name of the object
   * @param value the value in JSON
   * @param source the source of the value, for events
   * @return true if it was adopted
   */
  synchronized boolean offer(String name, byte[] value, String source) {
    if (!isReplicated(name)) {
      return false;
    }
    long current = generation(name);
    try {
      long offered = readGeneration(value);
      if (offered <= current) {
        reportOlder(name, offered, current, source);
        return false;
      }
      Adopter adopter = adopters.get(name);
      if (adopter != null) {
        adopter.adopt(value);
      }
      valuesByName.put(name, new ObjectValue(name, offered, value));
      digest = computeDigest();
      events.log(FleetEvent.OBJECT_ADOPTED, name, offered, source);
      return true;
    } catch (JsonException e) {
      events.log(FleetEvent.OBJECT_INVALID, name, source, e.toString());
      return false;
    }
  }

  private void reportOlder(String name, long offered, long current, String source) {
    if (offered == current) {
      return;
    }
    // Each older generation is reported once, because a watcher reads the same value repeatedly.
    Long lastReported = reportedOlderGenerations.put(name, offered);
    if (lastReported == null || lastReported != offered) {
      events.log(FleetEvent.OLDER_VALUE, name, offered, source, current);
    }
  }

  private static long readGeneration(byte[] value) throws JsonException {
    JsonNode node = Json.readTree(value).path("generation");
    if (!node.canConvertToLong() || node.asLong() < 1) {
      throw new JsonException("generation is missing or not positive", new IllegalStateException());
    }
    return node.asLong();
  }

  long generation(String name) {
    ObjectValue object = valuesByName.get(name);
    return object == null ? 0 : object.generation();
  }

  @Nullable ObjectValue get(String name) {
    return valuesByName.get(name);
  }

  /** Returns a copy of all generations in force by name. */
  Map<String, Long> generations() {
    Map<String, Long> result = new TreeMap<>();
    valuesByName.forEach((name, object) -> result.put(name, object.generation()));
    return result;
  }

  /**
   * Returns a hash of all names and generations, which is equal on hosts with the same generations.
   */
  long digest() {
    return digest;
  }

  private long computeDigest() {
    long sum = 0;
    for (ObjectValue object : valuesByName.values()) {
      sum += Hashing.mix(Hashing.mix(object.name().hashCode()) ^ object.generation());
    }
    return sum;
  }
}
