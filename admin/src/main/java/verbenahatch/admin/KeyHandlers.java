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

/** Handles requests that issue, list and withdraw callers' keys. */
final class KeyHandlers {

  private static final String PREFIX = "keys/";
  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

  /** Number of random bytes in a key; too many to guess. */
  private static final int KEY_BYTES = 32;

  private final JsonObjects objects;
  private final EnvironmentHandlers environments;
  private final Keys keys;
  private final FactPublisher factPublisher;
  private final Clock clock;
  private final String ownEnvironment;
  private final SecureRandom random = new SecureRandom();

  KeyHandlers(
      JsonObjects objects,
      EnvironmentHandlers environments,
      Keys keys,
      FactPublisher factPublisher,
      Clock clock,
      String ownEnvironment) {
    this.objects = objects;
    this.environments = environments;
    this.keys = keys;
    this.factPublisher = factPublisher;
    this.clock = clock;
    this.ownEnvironment = ownEnvironment;
  }

  Result<Object, AdminError> list(AdminRequest request) {
    String environment = request.segment(1);
    return objects
        .read(PREFIX + environment, KeyRing.class)
        .map(stored -> stored.orElse(KeyRing.EMPTY))
        .map(ring -> new ResponseBodies.KeyList(environment, ring.generation(), ring.keys()));
  }

  Result<Object, AdminError> issue(AdminRequest request) {
    String environment = request.segment(1);
    String workspace = request.query().getOrDefault("workspace", "");
    Result<EnvironmentDocument, AdminError> document = environments.current(environment);
    if (!document.isOk()) {
      return Result.err(document.error());
    }
    List<String> workspaceNames =
        document.get().workspaces().stream().map(Workspace::name).toList();
    if (!workspaceNames.contains(workspace)) {
      return Result.err(
          AdminError.BadInput.of("workspace", "\"" + workspace + "\"", "one of " + workspaceNames));
    }
    String key = newKey();
    KeyRecord newRecord = new KeyRecord(KeyHash.of(key), workspace, clock.wallMillis(), null);
    return update(request, environment, ring -> Result.ok(add(ring, newRecord)))
        .map(
            ring ->
                new ResponseBodies.IssuedKey(
                    key, newRecord.sha256(), workspace, ring.generation()));
  }

  Result<Object, AdminError> status(AdminRequest request) {
    return hash(request)
        .map(hash -> factPublisher.status(hash, withdrawal(request.segment(1), hash)));
  }

  // The fact is published first, since it takes effect without the store. The record in the store
  // preserves the withdrawal across a restart of every host.
  Result<Object, AdminError> withdraw(AdminRequest request) {
    String environment = request.segment(1);
    Result<String, AdminError> hash = hash(request);
    if (!hash.isOk()) {
      return Result.err(hash.error());
    }
    Result<Optional<KeyRing>, AdminError> ring = objects.read(PREFIX + environment, KeyRing.class);
    if (ring.isOk()
        && !isListed(ring.get(), hash.get())
        && !isKnownToHost(environment, hash.get())) {
      return Result.err(new AdminError.NotFound("key " + hash.get() + " of " + environment));
    }
    ResponseBodies.FactSpread spread =
        factPublisher.publish(hash.get(), withdrawal(environment, hash.get()));
    boolean isStored = ring.isOk() && writeWithdrawal(environment, hash.get());
    return Result.ok(
        new ResponseBodies.FactSpread(
            spread.subject(),
            spread.members(),
            spread.acknowledged(),
            spread.accepted(),
            spread.durable() || isStored,
            spread.inForce()));
  }

  // Marking a key as withdrawn cannot undo the changes of others, so no expected generation is
  // needed.
  private boolean writeWithdrawal(String environment, String hash) {
    Result<KeyRing, AdminError> written =
        objects.update(
            PREFIX + environment,
            KeyRing.class,
            stored -> Result.ok(markWithdrawn(stored.orElse(KeyRing.EMPTY), hash)));
    return written.isOk()
        && written.get().keys().stream()
            .anyMatch(key -> key.sha256().equals(hash) && key.withdrawnAtMillis() != null);
  }

  private Result<KeyRing, AdminError> update(
      AdminRequest request, String environment, KeyRingChange change) {
    String name = PREFIX + environment;
    Optional<String> seenParameter = Optional.ofNullable(request.query().get("seen"));
    Result<Long, AdminError> expectedGeneration =
        seenParameter.isEmpty() ? Result.ok(-1L) : request.expectedGeneration("seen");
    if (!expectedGeneration.isOk()) {
      return Result.err(expectedGeneration.error());
    }
    return objects.update(
        name,
        KeyRing.class,
        stored -> {
          KeyRing ring = stored.orElse(KeyRing.EMPTY);
          return seenParameter.isPresent() && ring.generation() != expectedGeneration.get()
              ? Result.err(
                  new AdminError.Conflict(name, expectedGeneration.get(), ring.generation()))
              : change.apply(ring);
        });
  }

  private static KeyRing add(KeyRing ring, KeyRecord newRecord) {
    List<KeyRecord> records = new ArrayList<>(ring.keys());
    records.add(newRecord);
    return new KeyRing(ring.generation() + 1, List.copyOf(records));
  }

  private KeyRing markWithdrawn(KeyRing ring, String hash) {
    List<KeyRecord> records = new ArrayList<>();
    boolean changed = false;
    for (KeyRecord key : ring.keys()) {
      boolean isWithdrawnNow = key.sha256().equals(hash) && key.withdrawnAtMillis() == null;
      changed |= isWithdrawnNow;
      records.add(
          isWithdrawnNow
              ? new KeyRecord(hash, key.workspace(), key.issuedAtMillis(), clock.wallMillis())
              : key);
    }
    return changed ? new KeyRing(ring.generation() + 1, List.copyOf(records)) : ring;
  }

  private static boolean isListed(Optional<KeyRing> ring, String hash) {
    return ring.isPresent()
        && ring.get().keys().stream().anyMatch(key -> key.sha256().equals(hash));
  }

  private boolean isKnownToHost(String environment, String hash) {
    return environment.equals(ownEnvironment) && !(keys.recheck(hash) instanceof KeyCheck.Unknown);
  }

  private static Fact withdrawal(String environment, String hash) {
    return new Fact.KeyWithdrawn(environment, hash);
  }

  private static Result<String, AdminError> hash(AdminRequest request) {
    String hash = request.segment(3);
    return HASH.matcher(hash).matches()
        ? Result.ok(hash)
        : Result.err(
            AdminError.BadInput.of("sha256", hash, "the SHA-256 hash of the key, 64 hex digits"));
  }

  private String newKey() {
    byte[] secret = new byte[KEY_BYTES];
    random.nextBytes(secret);
    byte[] encoded = Base64.getUrlEncoder().withoutPadding().encode(secret);
    return "vh_" + new String(encoded, StandardCharsets.US_ASCII);
  }

  private interface KeyRingChange {
    Result<KeyRing, AdminError> apply(KeyRing ring);
  }
}
