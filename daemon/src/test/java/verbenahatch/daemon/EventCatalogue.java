package verbenahatch.daemon;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.ZipFile;
import verbenahatch.kernel.EventCode;

/** Finds every event that is defined by a class on the class path. */
final class EventCatalogue {

  private EventCatalogue() {}

  static List<EventCode> all() throws IOException, ReflectiveOperationException {
    List<EventCode> codes = new ArrayList<>();
    for (String entry : System.getProperty("java.class.path", "").split(File.pathSeparator)) {
      for (String name : classNames(Path.of(entry))) {
        Class<?> type = Class.forName(name, false, EventCatalogue.class.getClassLoader());
        if (type.isEnum() && EventCode.class.isAssignableFrom(type)) {
          for (Object constant : type.getEnumConstants()) {
            codes.add((EventCode) constant);
          }
        }
      }
    }
    codes.sort(Comparator.comparingInt(EventCode::number));
    return codes;
  }

  private static List<String> classNames(Path entry) throws IOException {
    if (Files.isDirectory(entry)) {
      try (Stream<Path> files = Files.walk(entry)) {
        return eventClasses(files.map(file -> entry.relativize(file).toString()));
      }
    }
    if (!entry.getFileName().toString().startsWith("verbenahatch-")) {
      return List.of();
    }
    try (ZipFile jar = new ZipFile(entry.toFile())) {
      return eventClasses(jar.stream().map(Object::toString));
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  private static List<String> eventClasses(Stream<String> files) {
    return files
        .filter(file -> file.startsWith("verbenahatch") && file.endsWith("Event.class"))
        .map(file -> file.substring(0, file.length() - ".class".length()))
        .map(file -> file.replace('/', '.').replace(File.separatorChar, '.'))
        .toList();
  }
}
