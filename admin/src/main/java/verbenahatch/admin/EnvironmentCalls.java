package verbenahatch.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import verbenahatch.fleet.ConfigView;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.model.DocumentChecks;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.Fault;

/** Reads, checks, compares, writes and promotes documents of environments. */
final class EnvironmentCalls {

  /** Prefix of the objects that hold documents. */
  static final String PREFIX = "environment/";

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,63}");

  private final JsonObjects objects;
  private final ConfigView config;
  private final String ownEnvironment;

  EnvironmentCalls(JsonObjects objects, ConfigView config, String ownEnvironment) {
    this.objects = objects;
    this.config = config;
    this.ownEnvironment = ownEnvironment;
  }

  /** Checks the name of an environment. */
  static Optional<AdminError> checkName(String environment) {
    return NAME.matcher(environment).matches()
        ? Optional.empty()
        : Optional.of(
            AdminError.BadInput.of("environment", environment, "a name matching " + NAME));
  }

  Result<Object, AdminError> get(AdminCall call) {
    String environment = call.segment(1);
    Result<Optional<EnvironmentDocument>, AdminError> stored = stored(environment);
    Optional<EnvironmentDocument> held = inForce(environment);
    if (!stored.isOk() && held.isEmpty()) {
      return Result.err(stored.error());
    }
    Optional<EnvironmentDocument> newest = stored.isOk() ? newest(stored.get(), environment) : held;
    if (newest.isEmpty()) {
      return Result.err(new AdminError.NotFound(PREFIX + environment));
    }
    EnvironmentDocument document = newest.get();
    String source = stored.isOk() && stored.get().equals(newest) ? "store" : "host";
    return Result.ok(
        new Answer.Document(
            environment,
            document.generation(),
            held.map(EnvironmentDocument::generation).orElse(null),
            source,
            document));
  }

  Result<Object, AdminError> put(AdminCall call) {
    Result<Long, AdminError> seen = call.seen("seen");
    if (!seen.isOk()) {
      return Result.err(seen.error());
    }
    Result<EnvironmentDocument, AdminError> document = readChecked(call);
    if (!document.isOk()) {
      return Result.err(document.error());
    }
    return write(call.segment(1), seen.get(), document.get()).map(changed -> changed);
  }

  Result<Object, AdminError> validate(AdminCall call) {
    Result<EnvironmentDocument, List<Fault>> read = read(call);
    List<Fault> faults = read.isOk() ? List.of() : read.error();
    return Result.ok(new Answer.Checked(faults.isEmpty(), faults));
  }

  Result<Object, AdminError> diff(AdminCall call) {
    String environment = call.segment(1);
    Result<EnvironmentDocument, AdminError> before = current(environment);
    if (!before.isOk()) {
      return Result.err(before.error());
    }
    String other = call.query().getOrDefault("with", "");
    Result<EnvironmentDocument, AdminError> after =
        other.isEmpty() ? readChecked(call) : current(other).map(d -> renamed(d, environment));
    return after.map(
        document ->
            new Answer.Differences(
                before.get().generation(),
                document.generation(),
                DocumentDiff.between(before.get(), document)));
  }

  Result<Object, AdminError> promote(AdminCall call) {
    final String environment = call.segment(1);
    String from = call.query().getOrDefault("from", "trial");
    Result<Long, AdminError> seen = call.seen("seen");
    Result<Long, AdminError> seenFrom = call.seen("seenFrom");
    if (!seen.isOk() || !seenFrom.isOk()) {
      return Result.err(seen.isOk() ? seenFrom.error() : seen.error());
    }
    Result<EnvironmentDocument, AdminError> source = current(from);
    if (!source.isOk()) {
      return Result.err(source.error());
    }
    long generation = source.get().generation();
    if (generation != seenFrom.get()) {
      return Result.err(new AdminError.Conflict(PREFIX + from, seenFrom.get(), generation));
    }
    return write(environment, seen.get(), renamed(source.get(), environment)).map(done -> done);
  }

  /** Returns the newest known document: the stored one, unless an older store was restored. */
  Result<EnvironmentDocument, AdminError> current(String environment) {
    Optional<AdminError> badName = checkName(environment);
    if (badName.isPresent()) {
      return Result.err(badName.get());
    }
    Result<Optional<EnvironmentDocument>, AdminError> stored = stored(environment);
    if (!stored.isOk()) {
      return Result.err(stored.error());
    }
    Optional<EnvironmentDocument> newest = newest(stored.get(), environment);
    return newest.isPresent()
        ? Result.ok(newest.get())
        : Result.err(new AdminError.NotFound(PREFIX + environment));
  }

  /** Writes a checked document over the generation that the caller saw. */
  Result<Answer.Changed, AdminError> write(
      String environment, long seen, EnvironmentDocument document) {
    String name = PREFIX + environment;
    Result<EnvironmentDocument, AdminError> written =
        objects.update(
            name,
            EnvironmentDocument.class,
            stored -> {
              long current =
                  newest(stored, environment).map(EnvironmentDocument::generation).orElse(0L);
              return current == seen
                  ? Result.ok(withGeneration(document, environment, seen + 1))
                  : Result.err(new AdminError.Conflict(name, seen, current));
            });
    return written.map(done -> new Answer.Changed(name, done.generation(), true));
  }

  private Result<EnvironmentDocument, AdminError> readChecked(AdminCall call) {
    return read(call).mapError(AdminError.BadInput::new);
  }

  // The generation is assigned by the write, so the text may leave it out.
  private static Result<EnvironmentDocument, List<Fault>> read(AdminCall call) {
    String environment = call.segment(1);
    EnvironmentDocument document;
    try {
      document = Json.read(call.body(), EnvironmentDocument.class);
    } catch (JsonException e) {
      return Result.err(List.of(new Fault("$", String.valueOf(e.getMessage()), "a document")));
    }
    EnvironmentDocument numbered =
        withGeneration(document, document.environment(), Math.max(1, document.generation()));
    List<Fault> faults = new ArrayList<>(DocumentChecks.check(numbered));
    if (!document.environment().equals(environment)) {
      faults.add(new Fault("environment", document.environment(), environment));
    }
    return faults.isEmpty() ? Result.ok(numbered) : Result.err(List.copyOf(faults));
  }

  private Result<Optional<EnvironmentDocument>, AdminError> stored(String environment) {
    return objects.read(PREFIX + environment, EnvironmentDocument.class);
  }

  private Optional<EnvironmentDocument> inForce(String environment) {
    return environment.equals(ownEnvironment) ? config.document() : Optional.empty();
  }

  private Optional<EnvironmentDocument> newest(
      Optional<EnvironmentDocument> stored, String environment) {
    Optional<EnvironmentDocument> held = inForce(environment);
    long storedGeneration = stored.map(EnvironmentDocument::generation).orElse(0L);
    return held.filter(document -> document.generation() > storedGeneration).or(() -> stored);
  }

  private static EnvironmentDocument renamed(EnvironmentDocument document, String environment) {
    return withGeneration(document, environment, document.generation());
  }

  private static EnvironmentDocument withGeneration(
      EnvironmentDocument document, String environment, long generation) {
    return new EnvironmentDocument(
        environment,
        generation,
        document.regions(),
        document.links(),
        document.services(),
        document.routes(),
        document.workspaces(),
        document.releases(),
        document.clients());
  }
}
