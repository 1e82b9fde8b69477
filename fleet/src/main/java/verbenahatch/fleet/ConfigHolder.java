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

/** Holds the parsed environment document and the drains in force. */
final class ConfigHolder implements ConfigView {

  private final String environment;
  private final List<Consumer<EnvironmentDocument>> listeners = new CopyOnWriteArrayList<>();
  private volatile @Nullable EnvironmentDocument document;
  private volatile Drains drains = Drains.NONE;
  private volatile Function<String, Optional<byte[]>> objectSource = name -> Optional.empty();

  ConfigHolder(String environment) {
    this.environment = environment;
  }

  /** Sets the source of the values of other objects, which is empty until then. */
  void setObjectSource(Function<String, Optional<byte[]>> source) {
    objectSource = source;
  }

  void adoptDocument(byte[] value) throws JsonException {
    EnvironmentDocument parsed = Json.read(value, EnvironmentDocument.class);
    if (!environment.equals(parsed.environment())) {
      throw new JsonException(
          "document is for environment " + parsed.environment(), new IllegalStateException());
    }
    document = parsed;
    notifyListeners();
  }

  void adoptDrains(byte[] value) throws JsonException {
    drains = Json.read(value, Drains.class);
    notifyListeners();
  }

  private void notifyListeners() {
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
    return objectSource.apply(name);
  }

  @Override
  public void onChange(Consumer<EnvironmentDocument> listener) {
    listeners.add(listener);
  }
}
