package verbenahatch.admin;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import verbenahatch.fleet.Fact;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.fleet.Keys;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Result;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Workspace;
import verbenahatch.model.KeyHash;
import verbenahatch.model.KeyRecord;
import verbenahatch.model.KeyRing;

/** Issues, lists and withdraws callers' keys. */
final class KeyCalls {

  private static final String PREFIX = "keys/";
  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

  /** Length of a key in bytes; too long to guess. */
  private static final int KEY_BYTES = 32;

  private final JsonObjects objects;
  private final EnvironmentCalls environments;
  private final Keys keys;
  private final FactCalls facts;
  private final Clock clock;
  private final String ownEnvironment;
  private final SecureRandom random = new SecureRandom();

  KeyCalls(
      JsonObjects objects,
      EnvironmentCalls environments,
      Keys keys,
      FactCalls facts,
      Clock clock,
      String ownEnvironment) {
    this.objects = objects;
    this.environments = environments;
    this.keys = keys;
    this.facts = facts;
    this.clock = clock;
    this.ownEnvironment = ownEnvironment;
  }

  Result<Object, AdminError> list(AdminCall call) {
    String environment = call.segment(1);
    return objects
        .read(PREFIX + environment, KeyRing.class)
        .map(found -> found.orElse(KeyRing.EMPTY))
        .map(ring -> new Answer.KeyList(environment, ring.generation(), ring.keys()));
  }

  Result<Object, AdminError> issue(AdminCall call) {
    String environment = call.segment(1);
    String workspace = call.query().getOrDefault("workspace", "");
    Result<EnvironmentDocument, AdminError> document = environments.current(environment);
    if (!document.isOk()) {
      return Result.err(document.error());
    }
    List<String> known = document.get().workspaces().stream().map(Workspace::name).toList();
    if (!known.contains(workspace)) {
      return Result.err(
          AdminError.BadInput.of("workspace", "\"" + workspace + "\"", "one of " + known));
    }
    String key = newKey();
    KeyRecord added = new KeyRecord(KeyHash.of(key), workspace, clock.wallMillis(), null);
    return update(call, environment, ring -> Result.ok(add(ring, added)))
        .map(ring -> new Answer.IssuedKey(key, added.sha256(), workspace, ring.generation()));
  }

  Result<Object, AdminError> status(AdminCall call) {
    return hash(call).map(hash -> facts.status(hash, fact(call.segment(1), hash)));
  }

  // The fact comes first: it takes effect without the store. The record in the store makes it
  // outlive a restart of every host.
  Result<Object, AdminError> withdraw(AdminCall call) {
    String environment = call.segment(1);
    Result<String, AdminError> hash = hash(call);
    if (!hash.isOk()) {
      return Result.err(hash.error());
    }
    Result<Optional<KeyRing>, AdminError> ring = objects.read(PREFIX + environment, KeyRing.class);
    if (ring.isOk() && !isListed(ring.get(), hash.get()) && !isHeld(environment, hash.get())) {
      return Result.err(new AdminError.NotFound("key " + hash.get() + " of " + environment));
    }
    Answer.Spread spread = facts.publish(hash.get(), fact(environment, hash.get()));
    boolean written = ring.isOk() && writeWithdrawal(environment, hash.get());
    return Result.ok(
        new Answer.Spread(
            spread.subject(),
            spread.members(),
            spread.acknowledged(),
            spread.accepted(),
            spread.durable() || written,
            spread.inForce()));
  }

  // Marking a key cannot undo the changes of others, so it needs no generation that was seen.
  private boolean writeWithdrawal(String environment, String hash) {
    Result<KeyRing, AdminError> written =
        objects.update(
            PREFIX + environment,
            KeyRing.class,
            stored -> Result.ok(mark(stored.orElse(KeyRing.EMPTY), hash)));
    return written.isOk()
        && written.get().keys().stream()
            .anyMatch(key -> key.sha256().equals(hash) && key.withdrawnAtMillis() != null);
  }

  private Result<KeyRing, AdminError> update(
      AdminCall call, String environment, RingChange change) {
    String name = PREFIX + environment;
    Optional<String> seen = Optional.ofNullable(call.query().get("seen"));
    Result<Long, AdminError> generation = seen.isEmpty() ? Result.ok(-1L) : call.seen("seen");
    if (!generation.isOk()) {
      return Result.err(generation.error());
    }
    return objects.update(
        name,
        KeyRing.class,
        stored -> {
          KeyRing ring = stored.orElse(KeyRing.EMPTY);
          return seen.isPresent() && ring.generation() != generation.get()
              ? Result.err(new AdminError.Conflict(name, generation.get(), ring.generation()))
              : change.apply(ring);
        });
  }

  private static KeyRing add(KeyRing ring, KeyRecord added) {
    List<KeyRecord> records = new ArrayList<>(ring.keys());
    records.add(added);
    return new KeyRing(ring.generation() + 1, List.copyOf(records));
  }

  private KeyRing mark(KeyRing ring, String hash) {
    List<KeyRecord> records = new ArrayList<>();
    boolean changed = false;
    for (KeyRecord key : ring.keys()) {
      boolean marked = key.sha256().equals(hash) && key.withdrawnAtMillis() == null;
      changed |= marked;
      records.add(
          marked
              ? new KeyRecord(hash, key.workspace(), key.issuedAtMillis(), clock.wallMillis())
              : key);
    }
    return changed ? new KeyRing(ring.generation() + 1, List.copyOf(records)) : ring;
  }

  private static boolean isListed(Optional<KeyRing> ring, String hash) {
    return ring.isPresent()
        && ring.get().keys().stream().anyMatch(key -> key.sha256().equals(hash));
  }

  private boolean isHeld(String environment, String hash) {
    return environment.equals(ownEnvironment) && !(keys.recheck(hash) instanceof KeyCheck.Unknown);
  }

  private static Fact fact(String environment, String hash) {
    return new Fact.KeyWithdrawn(environment, hash);
  }

  private static Result<String, AdminError> hash(AdminCall call) {
    String hash = call.segment(3);
    return HASH.matcher(hash).matches()
        ? Result.ok(hash)
        : Result.err(
            AdminError.BadInput.of("sha256", hash, "the SHA-256 hash of the key, 64 hex digits"));
  }

  private String newKey() {
    byte[] bytes = new byte[KEY_BYTES];
    random.nextBytes(bytes);
    byte[] text = Base64.getUrlEncoder().withoutPadding().encode(bytes);
    return "vh_" + new String(text, StandardCharsets.US_ASCII);
  }

  private interface RingChange {
    Result<KeyRing, AdminError> apply(KeyRing ring);
  }
}
