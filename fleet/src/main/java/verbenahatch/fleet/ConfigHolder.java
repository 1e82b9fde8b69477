package verbenahatch.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;
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
  private volatile Function<String, Optional<byte[]>> objects = name -> Optional.empty();

  ConfigHolder(String environment) {
    this.environment = environment;
  }

  /** Sets where the values of other objects are found. */
  void readObjectsFrom(Function<String, Optional<byte[]>> source) {
    objects = source;
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
  public Optional<byte[]> object(String name) {
    return objects.apply(name);
  }

  @Override
  public void onChange(Consumer<EnvironmentDocument> listener) {
    listeners.add(listener);
  }
}
