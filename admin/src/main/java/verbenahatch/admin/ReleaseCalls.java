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

/** Starts, watches and takes back releases. */
final class ReleaseCalls {

  private static final String HALTS = "status/halts";

  /** Watches that may wait at once; each holds a thread and counts as a call to the store. */
  private static final int MAX_WATCHES = 4;

  private static final long MAX_WAIT_MILLIS = 10_000;

  private final JsonObjects objects;
  private final EnvironmentCalls environments;
  private final FactCalls facts;
  private final Semaphore watches = new Semaphore(MAX_WATCHES);

  ReleaseCalls(JsonObjects objects, EnvironmentCalls environments, FactCalls facts) {
    this.objects = objects;
    this.environments = environments;
    this.facts = facts;
  }

  Result<Object, AdminError> list(AdminCall call) {
    return environments.current(call.segment(1)).map(this::describeAll);
  }

  // A release is a part of the document, so starting one is a change of the document.
  Result<Object, AdminError> start(AdminCall call) {
    Result<Long, AdminError> seen = call.seen("seen");
    if (!seen.isOk()) {
      return Result.err(seen.error());
    }
    Release release;
    try {
      release = Json.read(call.body(), Release.class);
    } catch (JsonException e) {
      return Result.err(AdminError.BadInput.of("$", String.valueOf(e.getMessage()), "a release"));
    }
    String environment = call.segment(1);
    Result<EnvironmentDocument, AdminError> current = environments.current(environment);
    if (!current.isOk()) {
      return Result.err(current.error());
    }
    long generation = current.get().generation();
    if (generation != seen.get()) {
      return Result.err(
          new AdminError.Conflict(EnvironmentCalls.PREFIX + environment, seen.get(), generation));
    }
    EnvironmentDocument next = with(current.get(), release);
    List<Fault> faults = DocumentChecks.check(next);
    if (!faults.isEmpty()) {
      return Result.err(new AdminError.BadInput(faults));
    }
    if (isHalted(release.id())) {
      return Result.err(
          AdminError.BadInput.of("id", release.id(), "an id that was never taken back"));
    }
    return environments.write(environment, seen.get(), next).map(changed -> changed);
  }

  Result<Object, AdminError> get(AdminCall call) {
    Result<Release, AdminError> found = find(call);
    if (!found.isOk()) {
      return Result.err(found.error());
    }
    long waitMillis = call.number("waitMillis", 0, MAX_WAIT_MILLIS);
    if (waitMillis > 0) {
      Optional<AdminError> refused =
          await(found.get().service(), call.number("after", 0, Long.MAX_VALUE), waitMillis);
      if (refused.isPresent()) {
        return Result.err(refused.get());
      }
    }
    return Result.ok(describe(found.get()));
  }

  Result<Object, AdminError> takeBack(AdminCall call) {
    Result<Release, AdminError> found = find(call);
    // While the store is down the release cannot be looked up, but must still be stoppable.
    if (!found.isOk() && !(found.error() instanceof AdminError.Unavailable)) {
      return Result.err(found.error());
    }
    String id = call.segment(3);
    String reason = call.query().getOrDefault("reason", "taken back");
    Fact fact = new Fact.ReleaseHalted(id, reason + " (operator " + call.operator() + ")");
    return Result.ok(facts.publish(id, fact));
  }

  private Optional<AdminError> await(String service, long after, long waitMillis) {
    if (!watches.tryAcquire()) {
      return Optional.of(new AdminError.Busy(MAX_WATCHES + " watches wait at this host already"));
    }
    try {
      Result<WatchBatch, StoreError> batch =
          objects
              .store()
              .watch(ReleaseRecord.nameOf(service), after, Duration.ofMillis(waitMillis));
      return batch.isOk() ? Optional.empty() : Optional.of(JsonObjects.map(batch.error()));
    } finally {
      watches.release();
    }
  }

  private Result<Release, AdminError> find(AdminCall call) {
    Result<EnvironmentDocument, AdminError> document = environments.current(call.segment(1));
    if (!document.isOk()) {
      return Result.err(document.error());
    }
    for (Release release : document.get().releases()) {
      if (release.id().equals(call.segment(3))) {
        return Result.ok(release);
      }
    }
    return Result.err(new AdminError.NotFound("release " + call.segment(3)));
  }

  private Answer.ReleaseList describeAll(EnvironmentDocument document) {
    List<Answer.Release> releases = document.releases().stream().map(this::describe).toList();
    return new Answer.ReleaseList(document.environment(), document.generation(), releases);
  }

  private Answer.Release describe(Release plan) {
    Result<StoredObject, StoreError> found =
        objects.store().get(ReleaseRecord.nameOf(plan.service()));
    ReleaseRecord record = found.isOk() ? read(found.get().value()) : null;
    // The object of a service holds its latest release only.
    boolean isOwn = record != null && record.release().equals(plan.id());
    long version = found.isOk() ? found.get().version() : 0;
    String reason = haltReason(plan.id());
    return new Answer.Release(plan, isOwn ? record : null, version, !reason.isEmpty(), reason);
  }

  private boolean isHalted(String id) {
    return !haltReason(id).isEmpty();
  }

  private String haltReason(String id) {
    Result<Optional<JsonNode>, AdminError> halts = objects.read(HALTS, JsonNode.class);
    if (halts.isOk() && halts.get().isPresent()) {
      for (JsonNode halt : halts.get().get().path("halts")) {
        if (halt.path("release").asText().equals(id)) {
          return halt.path("reason").asText("halted");
        }
      }
    }
    return "";
  }

  private static @Nullable ReleaseRecord read(byte[] value) {
    try {
      return Json.read(value, ReleaseRecord.class);
    } catch (JsonException e) {
      return null;
    }
  }

  private static EnvironmentDocument with(EnvironmentDocument document, Release release) {
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
