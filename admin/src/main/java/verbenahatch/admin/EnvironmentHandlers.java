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

/** Handles requests that read, validate, compare, write and promote environment documents. */
final class EnvironmentHandlers {

  /** Prefix of the names of the stored objects that contain environment documents. */
  static final String PREFIX = "environment/";

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,63}");

  private final JsonObjects objects;
  private final ConfigView config;
  private final String ownEnvironment;

  EnvironmentHandlers(JsonObjects objects, ConfigView config, String ownEnvironment) {
    this.objects = objects;
    this.config = config;
    this.ownEnvironment = ownEnvironment;
  }

  /** Returns an error if an environment's name is not valid, otherwise empty. */
  static Optional<AdminError> checkName(String environment) {
    return NAME.matcher(environment).matches()
        ? Optional.empty()
        : Optional.of(
            AdminError.BadInput.of("environment", environment, "a name matching " + NAME));
  }

  Result<Object, AdminError> get(AdminRequest request) {
    String environment = request.segment(1);
    Result<Optional<EnvironmentDocument>, AdminError> stored = stored(environment);
    Optional<EnvironmentDocument> inForce = documentInForce(environment);
    if (!stored.isOk() && inForce.isEmpty()) {
      return Result.err(stored.error());
    }
    Optional<EnvironmentDocument> newest =
        stored.isOk() ? newest(stored.get(), environment) : inForce;
    if (newest.isEmpty()) {
      return Result.err(new AdminError.NotFound(PREFIX + environment));
    }
    EnvironmentDocument document = newest.get();
    String source = stored.isOk() && stored.get().equals(newest) ? "store" : "host";
    return Result.ok(
        new ResponseBodies.Document(
            environment,
            document.generation(),
            inForce.map(EnvironmentDocument::generation).orElse(null),
            source,
            document));
  }

  Result<Object, AdminError> put(AdminRequest request) {
    Result<Long, AdminError> expectedGeneration = request.expectedGeneration("seen");
    if (!expectedGeneration.isOk()) {
      return Result.err(expectedGeneration.error());
    }
    Result<EnvironmentDocument, AdminError> document = parseValid(request);
    if (!document.isOk()) {
      return Result.err(document.error());
    }
    return write(request.segment(1), expectedGeneration.get(), document.get())
        .map(changed -> changed);
  }

  Result<Object, AdminError> validate(AdminRequest request) {
    Result<EnvironmentDocument, List<Fault>> parsed = parse(request);
    List<Fault> faults = parsed.isOk() ? List.of() : parsed.error();
    return Result.ok(new ResponseBodies.Checked(faults.isEmpty(), faults));
  }

  Result<Object, AdminError> diff(AdminRequest request) {
    String environment = request.segment(1);
    Result<EnvironmentDocument, AdminError> before = current(environment);
    if (!before.isOk()) {
      return Result.err(before.error());
    }
    String otherEnvironment = request.query().getOrDefault("with", "");
    Result<EnvironmentDocument, AdminError> after =
        otherEnvironment.isEmpty()
            ? parseValid(request)
            : current(otherEnvironment).map(d -> withEnvironment(d, environment));
    return after.map(
        document ->
            new ResponseBodies.Differences(
                before.get().generation(),
                document.generation(),
                DocumentDiff.between(before.get(), document)));
  }

  Result<Object, AdminError> promote(AdminRequest request) {
    final String environment = request.segment(1);
    String sourceEnvironment = request.query().getOrDefault("from", "trial");
    Result<Long, AdminError> expectedGeneration = request.expectedGeneration("seen");
    Result<Long, AdminError> expectedSourceGeneration = request.expectedGeneration("seenFrom");
    if (!expectedGeneration.isOk() || !expectedSourceGeneration.isOk()) {
      return Result.err(
          expectedGeneration.isOk()
              ? expectedSourceGeneration.error()
              : expectedGeneration.error());
    }
    Result<EnvironmentDocument, AdminError> source = current(sourceEnvironment);
    if (!source.isOk()) {
      return Result.err(source.error());
    }
    long sourceGeneration = source.get().generation();
    if (sourceGeneration != expectedSourceGeneration.get()) {
      return Result.err(
          new AdminError.Conflict(
              PREFIX + sourceEnvironment, expectedSourceGeneration.get(), sourceGeneration));
    }
    return write(environment, expectedGeneration.get(), withEnvironment(source.get(), environment))
        .map(changed -> changed);
  }

  /**
   * Returns the newest known document: the stored one, unless the store was restored to an older
   * state.
   */
  Result<EnvironmentDocument, AdminError> current(String environment) {
    Optional<AdminError> nameError = checkName(environment);
    if (nameError.isPresent()) {
      return Result.err(nameError.get());
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

  /** Writes a validated document if the expected generation is the current one. */
  Result<ResponseBodies.Changed, AdminError> write(
      String environment, long expectedGeneration, EnvironmentDocument document) {
    String name = PREFIX + environment;
    Result<EnvironmentDocument, AdminError> written =
        objects.update(
            name,
            EnvironmentDocument.class,
            stored -> {
              long current =
                  newest(stored, environment).map(EnvironmentDocument::generation).orElse(0L);
              return current == expectedGeneration
                  ? Result.ok(withGeneration(document, environment, expectedGeneration + 1))
                  : Result.err(new AdminError.Conflict(name, expectedGeneration, current));
            });
    return written.map(stored -> new ResponseBodies.Changed(name, stored.generation(), true));
  }

  private Result<EnvironmentDocument, AdminError> parseValid(AdminRequest request) {
    return parse(request).mapError(AdminError.BadInput::new);
  }

  // The generation is assigned by the write, so the request body may omit it.
  private static Result<EnvironmentDocument, List<Fault>> parse(AdminRequest request) {
    String environment = request.segment(1);
    EnvironmentDocument document;
    try {
      document = Json.read(request.body(), EnvironmentDocument.class);
    } catch (JsonException e) {
      return Result.err(List.of(new Fault("$", String.valueOf(e.getMessage()), "a document")));
    }
    EnvironmentDocument normalized =
        withGeneration(document, document.environment(), Math.max(1, document.generation()));
    List<Fault> faults = new ArrayList<>(DocumentChecks.check(normalized));
    if (!document.environment().equals(environment)) {
      faults.add(new Fault("environment", document.environment(), environment));
    }
    return faults.isEmpty() ? Result.ok(normalized) : Result.err(List.copyOf(faults));
  }

  private Result<Optional<EnvironmentDocument>, AdminError> stored(String environment) {
    return objects.read(PREFIX + environment, EnvironmentDocument.class);
  }

  private Optional<EnvironmentDocument> documentInForce(String environment) {
    return environment.equals(ownEnvironment) ? config.document() : Optional.empty();
  }

  private Optional<EnvironmentDocument> newest(
      Optional<EnvironmentDocument> stored, String environment) {
    Optional<EnvironmentDocument> inForce = documentInForce(environment);
    long storedGeneration = stored.map(EnvironmentDocument::generation).orElse(0L);
    return inForce.filter(document -> document.generation() > storedGeneration).or(() -> stored);
  }

  private static EnvironmentDocument withEnvironment(
      EnvironmentDocument document, String environment) {
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
