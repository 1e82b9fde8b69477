package verbenahatch.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Fact;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.model.DocumentChecks;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Release;
import verbenahatch.model.Fault;
import verbenahatch.release.ReleaseRecord;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/** Handles requests that start, watch and roll back releases. */
final class ReleaseHandlers {

  private static final String HALTS = "status/halts";

  /** Watches that may wait concurrently; each occupies a thread and counts as a store call. */
  private static final int MAX_WATCHES = 4;

  private static final long MAX_WAIT_MILLIS = 10_000;

  private final JsonObjects objects;
  private final EnvironmentHandlers environments;
  private final FactPublisher factPublisher;
  private final Semaphore watchPermits = new Semaphore(MAX_WATCHES);

  ReleaseHandlers(
      JsonObjects objects, EnvironmentHandlers environments, FactPublisher factPublisher) {
    this.objects = objects;
    this.environments = environments;
    this.factPublisher = factPublisher;
  }

  Result<Object, AdminError> list(AdminRequest request) {
    return environments.current(request.segment(1)).map(this::describeAll);
  }

  // A release is part of the environment document, so starting one changes the document.
  Result<Object, AdminError> start(AdminRequest request) {
    Result<Long, AdminError> expectedGeneration = request.expectedGeneration("seen");
    if (!expectedGeneration.isOk()) {
      return Result.err(expectedGeneration.error());
    }
    Release release;
    try {
      release = Json.read(request.body(), Release.class);
    } catch (JsonException e) {
      return Result.err(AdminError.BadInput.of("$", String.valueOf(e.getMessage()), "a release"));
    }
    String environment = request.segment(1);
    Result<EnvironmentDocument, AdminError> current = environments.current(environment);
    if (!current.isOk()) {
      return Result.err(current.error());
    }
    long currentGeneration = current.get().generation();
    if (currentGeneration != expectedGeneration.get()) {
      return Result.err(
          new AdminError.Conflict(
              EnvironmentHandlers.PREFIX + environment,
              expectedGeneration.get(),
              currentGeneration));
    }
    EnvironmentDocument changedDocument = withRelease(current.get(), release);
    List<Fault> faults = DocumentChecks.check(changedDocument);
    if (!faults.isEmpty()) {
      return Result.err(new AdminError.BadInput(faults));
    }
    if (isHalted(release.id())) {
      return Result.err(
          AdminError.BadInput.of("id", release.id(), "an id that was never rolled back"));
    }
    return environments
        .write(environment, expectedGeneration.get(), changedDocument)
        .map(changed -> changed);
  }

  Result<Object, AdminError> get(AdminRequest request) {
    Result<Release, AdminError> found = find(request);
    if (!found.isOk()) {
      return Result.err(found.error());
    }
    long waitMillis = request.number("waitMillis", 0, MAX_WAIT_MILLIS);
    if (waitMillis > 0) {
      Optional<AdminError> error =
          awaitChange(
              found.get().service(), request.number("after", 0, Long.MAX_VALUE), waitMillis);
      if (error.isPresent()) {
        return Result.err(error.get());
      }
    }
    return Result.ok(describe(found.get()));
  }

  Result<Object, AdminError> rollBack(AdminRequest request) {
    Result<Release, AdminError> found = find(request);
    // While the store is down, a release cannot be looked up but must still be possible to stop.
    if (!found.isOk() && !(found.error() instanceof AdminError.Unavailable)) {
      return Result.err(found.error());
    }
    String id = request.segment(3);
    String reason = request.query().getOrDefault("reason", "taken back");
    Fact fact = new Fact.ReleaseHalted(id, reason + " (operator " + request.operator() + ")");
    return Result.ok(factPublisher.publish(id, fact));
  }

  private Optional<AdminError> awaitChange(String service, long afterVersion, long waitMillis) {
    if (!watchPermits.tryAcquire()) {
      return Optional.of(
          new AdminError.Busy(MAX_WATCHES + " watches are already waiting at this host"));
    }
    try {
      Result<WatchBatch, StoreError> batch =
          objects
              .store()
              .watch(ReleaseRecord.nameOf(service), afterVersion, Duration.ofMillis(waitMillis));
      return batch.isOk() ? Optional.empty() : Optional.of(JsonObjects.toAdminError(batch.error()));
    } finally {
      watchPermits.release();
    }
  }

  private Result<Release, AdminError> find(AdminRequest request) {
    Result<EnvironmentDocument, AdminError> document = environments.current(request.segment(1));
    if (!document.isOk()) {
      return Result.err(document.error());
    }
    for (Release release : document.get().releases()) {
      if (release.id().equals(request.segment(3))) {
        return Result.ok(release);
      }
    }
    return Result.err(new AdminError.NotFound("release " + request.segment(3)));
  }

  private ResponseBodies.ReleaseList describeAll(EnvironmentDocument document) {
    List<ResponseBodies.Release> releases =
        document.releases().stream().map(this::describe).toList();
    return new ResponseBodies.ReleaseList(document.environment(), document.generation(), releases);
  }

  private ResponseBodies.Release describe(Release plan) {
    Result<StoredObject, StoreError> stored =
        objects.store().get(ReleaseRecord.nameOf(plan.service()));
    ReleaseRecord record = stored.isOk() ? parse(stored.get().value()) : null;
    // The stored object of a service describes its latest release only.
    boolean isOfThisRelease = record != null && record.release().equals(plan.id());
    long version = stored.isOk() ? stored.get().version() : 0;
    String reason = haltReason(plan.id());
    return new ResponseBodies.Release(
        plan, isOfThisRelease ? record : null, version, !reason.isEmpty(), reason);
  }

  private boolean isHalted(String id) {
    return !haltReason(id).isEmpty();
  }

  private String haltReason(String id) {
    Result<Optional<JsonNode>, AdminError> stored = objects.read(HALTS, JsonNode.class);
    if (stored.isOk() && stored.get().isPresent()) {
      for (JsonNode halt : stored.get().get().path("halts")) {
        if (halt.path("release").asText().equals(id)) {
          return halt.path("reason").asText("halted");
        }
      }
    }
    return "";
  }

  private static @Nullable ReleaseRecord parse(byte[] value) {
    try {
      return Json.read(value, ReleaseRecord.class);
    } catch (JsonException e) {
      return null;
    }
  }

  private static EnvironmentDocument withRelease(EnvironmentDocument document, Release release) {
    List<Release> releases = new ArrayList<>(document.releases());
    releases.add(release);
    return new EnvironmentDocument(
        document.environment(),
        document.generation(),
        document.regions(),
        document.links(),
        document.services(),
        document.routes(),
        document.workspaces(),
        List.copyOf(releases),
        document.clients());
  }
}
