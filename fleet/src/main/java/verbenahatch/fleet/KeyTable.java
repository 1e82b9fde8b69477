package verbenahatch.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.KeyHash;
import verbenahatch.model.KeyRecord;
import verbenahatch.model.KeyRing;

/**
 * Maps hashes of keys to workspaces.
 *
 * <p>The table is replaced as a whole (read-copy-update). Withdrawals known as facts are held
 * separately, so that the adoption of a record never drops them.
 */
final class KeyTable implements Keys {

  /**
   * Hexadecimal digits of the hash that select a bucket, in which hashes are compared in constant
   * time.
   */
  private static final int BUCKET_DIGITS = 8;

  private record Entry(byte[] hash, String workspace, boolean withdrawn) {}

  private final String environment;
  private final BooleanSupplier fresh;
  private final Set<String> withdrawnByFact = ConcurrentHashMap.newKeySet();
  private volatile Map<String, List<Entry>> table = Map.of();
  private volatile KeyRing ring = KeyRing.EMPTY;

  KeyTable(String environment, BooleanSupplier fresh) {
    this.environment = environment;
    this.fresh = fresh;
  }

  /** Replaces the table with the keys of a record. */
  void load(KeyRing newer) {
    Map<String, List<Entry>> next = new HashMap<>();
    for (KeyRecord key : newer.keys()) {
      boolean withdrawn = key.withdrawnAtMillis() != null;
      next.computeIfAbsent(bucket(key.sha256()), b -> new ArrayList<>(1))
          .add(new Entry(bytes(key.sha256()), key.workspace(), withdrawn));
    }
    table = next;
    ring = newer;
  }

  /**
   * Applies the withdrawal of a key. Facts of other environments or of other kinds have no effect.
   */
  void apply(Fact fact) {
    if (fact instanceof Fact.KeyWithdrawn withdrawn
        && withdrawn.environment().equals(environment)) {
      withdrawnByFact.add(withdrawn.keyHash());
    }
  }

  KeyRing ring() {
    return ring;
  }

  int withdrawnByFact() {
    return withdrawnByFact.size();
  }

  /** Returns whether the record in force marks a key as withdrawn. */
  boolean isWithdrawnInRecord(String keyHash) {
    Entry entry = find(keyHash);
    return entry != null && entry.withdrawn();
  }

  @Override
  public KeyCheck check(@Nullable String key) {
    if (key == null || key.isEmpty()) {
      return new KeyCheck.Unknown();
    }
    return recheck(KeyHash.of(key));
  }

  @Override
  public KeyCheck recheck(String keyHash) {
    // Freshness is read before the table, because the facts received with a contact are applied
    // before that contact makes the host fresh.
    boolean freshBefore = fresh.getAsBoolean();
    Entry entry = find(keyHash);
    if (withdrawnByFact.contains(keyHash) || (entry != null && entry.withdrawn())) {
      return new KeyCheck.Withdrawn();
    }
    if (!freshBefore) {
      return new KeyCheck.NotFresh();
    }
    return entry == null ? new KeyCheck.Unknown() : new KeyCheck.Valid(entry.workspace(), keyHash);
  }

  private @Nullable Entry find(String keyHash) {
    byte[] wanted = bytes(keyHash);
    Entry found = null;
    for (Entry entry : table.getOrDefault(bucket(keyHash), List.of())) {
      if (MessageDigest.isEqual(entry.hash(), wanted)) {
        found = entry;
      }
    }
    return found;
  }

  private static String bucket(String keyHash) {
    return keyHash.substring(0, Math.min(BUCKET_DIGITS, keyHash.length()));
  }

  private static byte[] bytes(String keyHash) {
    return keyHash.getBytes(StandardCharsets.US_ASCII);
  }
}
