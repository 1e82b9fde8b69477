package verbenahatch.admin;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.Fault;
import verbenahatch.model.KeyRecord;
import verbenahatch.release.ReleaseRecord;

/** Records that are written as JSON response bodies; see {@code docs/admin-api.md}. */
final class ResponseBodies {

  private ResponseBodies() {}

  /** The body of every error response. */
  record ErrorBody(
      String code,
      String message,
      @Nullable String object,
      @Nullable Long seen,
      @Nullable Long current,
      @Nullable List<Fault> faults) {}

  /**
   * A document with its generation; {@code inForce} is known for this host's environment only,
   * otherwise null.
   */
  record Document(
      String environment,
      long generation,
      @Nullable Long inForce,
      String source,
      EnvironmentDocument document) {}

  /** A change that the store has confirmed; {@code changed} is false if nothing had to change. */
  record Changed(String object, long generation, boolean changed) {}

  /** The result of validating a document. */
  record Checked(boolean valid, List<Fault> faults) {}

  /** Differences between two documents. */
  record Differences(
      long beforeGeneration, long afterGeneration, List<DocumentDiff.Change> changes) {}

  /** A new key; no other response shows the key itself rather than its hash. */
  record IssuedKey(String key, String sha256, String workspace, long generation) {}

  /** The keys of an environment. */
  record KeyList(String environment, long generation, List<KeyRecord> keys) {}

  /** How many members have acknowledged a fact, and whether it is durable and in force. */
  record FactSpread(
      String subject,
      int members,
      int acknowledged,
      boolean accepted,
      boolean durable,
      boolean inForce) {}

  /** The active drains, with the generation in force on this host. */
  record DrainList(
      long generation,
      long inForce,
      List<String> targets,
      List<String> zones,
      List<String> hosts) {}

  /**
   * A planned release and its known progress; {@code record} is null if the store holds none for
   * this release.
   */
  record Release(
      EnvironmentDocument.Release plan,
      @Nullable ReleaseRecord record,
      long version,
      boolean halted,
      String reason) {}

  /** The releases of an environment. */
  record ReleaseList(String environment, long generation, List<Release> releases) {}

  /** The state of this host and its view of the fleet. */
  record Status(
      String host,
      String incarnation,
      String environment,
      boolean ready,
      Map<String, String> unmet,
      boolean fresh,
      long membersEpoch,
      List<MemberStatus> members,
      long documentGeneration,
      long drainsGeneration) {}

  /** One member in this host's view. */
  record MemberStatus(
      String host,
      String incarnation,
      String region,
      String zone,
      boolean inContact,
      boolean leaving) {}
}
