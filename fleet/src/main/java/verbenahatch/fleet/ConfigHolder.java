package verbenahatch.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.model.EnvironmentDocument;

/** Holds the parsed document and drains in force. */
final class ConfigHolder implements ConfigView {

  private final String environment;
  private final List<Consumer<EnvironmentDocument>> listeners = new CopyOnWriteArrayList<>();
  private volatile @Nullable EnvironmentDocument document;
  private volatile Drains drains = Drains.NONE;

  ConfigHolder(String environment) {
    this.environment = environment;
  }

  void adoptDocument(byte[] value) throws JsonException {
    EnvironmentDocument read = Json.read(value, EnvironmentDocument.class);
    if (!environment.equals(read.environment())) {
      throw new JsonException(
          "document is for environment " + read.environment(), new IllegalStateException());
    }
    document = read;
    tell();
  }

  void adoptDrains(byte[] value) throws JsonException {
    drains = Json.read(value, Drains.class);
    tell();
  }

  private void tell() {
    EnvironmentDocument current = document;
    if (current != null) {
      listeners.forEach(listener -> listener.accept(current));
    }
  }

  @Override
  public Optional<EnvironmentDocument> document() {
    return Optional.ofNullable(document);
  }

  @Override
  public Drains drains() {
    return drains;
  }

  @Override
  public void onChange(Consumer<EnvironmentDocument> listener) {
    listeners.add(listener);
  }
}
