package verbenahatch.admin;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.Fault;
import verbenahatch.model.KeyRecord;
import verbenahatch.release.ReleaseRecord;

/** Names the bodies of answers; {@code docs/admin-api.md} describes them. */
final class Answer {

  private Answer() {}

  /** Body of every error. */
  record ErrorBody(
      String code,
      String message,
      @Nullable String object,
      @Nullable Long seen,
      @Nullable Long current,
      @Nullable List<Fault> faults) {}

  /** A document with its generation; {@code inForce} is known for this host's environment only. */
  record Document(
      String environment,
      long generation,
      @Nullable Long inForce,
      String source,
      EnvironmentDocument document) {}

  /** A change that the store has confirmed. */
  record Changed(String object, long generation, boolean changed) {}

  /** The outcome of checks. */
  record Checked(boolean valid, List<Fault> faults) {}

  /** Differences between two documents. */
  record Differences(
      long beforeGeneration, long afterGeneration, List<DocumentDiff.Change> changes) {}

  /** A new key; its only appearance in clear. */
  record IssuedKey(String key, String sha256, String workspace, long generation) {}

  /** The keys of an environment. */
  record KeyList(String environment, long generation, List<KeyRecord> keys) {}

  /** How far a fact has come. */
  record Spread(
      String subject,
      int members,
      int acknowledged,
      boolean accepted,
      boolean durable,
      boolean inForce) {}

  /** What drains, with the generation in force on this host. */
  record DrainList(
      long generation,
      long inForce,
      List<String> targets,
      List<String> zones,
      List<String> hosts) {}

  /** A planned release and what is known about its progress. */
  record Release(
      EnvironmentDocument.Release plan,
      @Nullable ReleaseRecord record,
      long version,
      boolean halted,
      String reason) {}

  /** The releases of an environment. */
  record ReleaseList(String environment, long generation, List<Release> releases) {}

  /** The state of this host and what it knows about the fleet. */
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

  /** One member as this host sees it. */
  record MemberStatus(
      String host,
      String incarnation,
      String region,
      String zone,
      boolean inContact,
      boolean leaving) {}
}
