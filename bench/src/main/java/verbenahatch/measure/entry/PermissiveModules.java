package verbenahatch.measure.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Drains;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.fleet.Keys;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.release.Releases;

/** Stands in for the modules that the gateway uses and allows every request at no cost. */
final class PermissiveModules implements ConfigView, Keys, Limits, Releases {

  private static final CompletableFuture<Admission> ADMITTED =
      CompletableFuture.completedFuture(new Admission.Admitted());

  private final EnvironmentDocument document;

  PermissiveModules(EnvironmentDocument document) {
    this.document = document;
  }

  @Override
  public void onChange(Consumer<EnvironmentDocument> listener) {}

  @Override
  public Optional<EnvironmentDocument> document() {
    return Optional.of(document);
  }

  @Override
  public Drains drains() {
    return Drains.NONE;
  }

  @Override
  public KeyCheck check(@Nullable String key) {
    return new KeyCheck.Valid("all", "hash");
  }

  @Override
  public KeyCheck recheck(String keyHash) {
    return new KeyCheck.Valid("all", keyHash);
  }

  @Override
  public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
    return ADMITTED;
  }

  @Override
  public CompletableFuture<Admission> enterRegion(String region, long deadlineNanos) {
    return ADMITTED;
  }

  @Override
  public void leaveRegion(String region) {}

  @Override
  public CompletableFuture<Admission> takeLinkBytes(
      String from, String to, long bytes, long deadlineNanos) {
    return ADMITTED;
  }

  @Override
  public double linkHeadroom(String from, String to) {
    return 1;
  }

  @Override
  public String chooseVersion(String service, String currentVersion, double draw) {
    return currentVersion;
  }

  @Override
  public void record(
      String service, String route, String version, boolean failed, long latencyNanos) {}
}
