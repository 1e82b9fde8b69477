package verbenahatch.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tlc2.TLC;

class SharesModelTest {

  private static final int SUCCESS = 0;

  /** TLC's error code for an invariant violated by a behaviour (not by the initial state). */
  private static final int INVARIANT_VIOLATED = 2110;

  private static final Path MODELS = Path.of("src", "test", "tla");

  /**
   * Guards against a protocol in which usable shares and the pool exceed the total. Each variant
   * with a disabled mechanism must give a counterexample, which shows that the model detects the
   * fault.
   */
  @ParameterizedTest(name = "{0} with {1}")
  @CsvSource({
    "Shares, all mechanisms, 0",
    "SharesExchange, all mechanisms, 0",
    "Shares, WaitsForLapse, 2110",
    "Shares, ClosesEpoch, 2110",
    "SharesExchange, StoresAnswer, 2110"
  })
  void neverAboveTotal(
      String configuration, String disabledMechanism, int expected, @TempDir Path directory)
      throws Exception {
    Path module = directory.resolve("Shares.tla");
    Path config = directory.resolve("Shares.cfg");
    Files.copy(MODELS.resolve("Shares.tla"), module);
    String text = Files.readString(MODELS.resolve(configuration + ".cfg"));
    Files.writeString(
        config, text.replace(disabledMechanism + " = TRUE", disabledMechanism + " = FALSE"));
    int result = check(module, config, directory.resolve("states"));
    assertEquals(expected, result, expected == SUCCESS ? "violated" : "no counterexample");
    assertEquals(expected == INVARIANT_VIOLATED, !disabledMechanism.equals("all mechanisms"));
  }

  /**
   * Runs the model checker in this process, in a separate class loader that isolates its static
   * state.
   */
  private static int check(Path module, Path config, Path states) throws Exception {
    URL library = TLC.class.getProtectionDomain().getCodeSource().getLocation();
    ClassLoader parent = ClassLoader.getPlatformClassLoader();
    try (URLClassLoader loader = new URLClassLoader(new URL[] {library}, parent)) {
      Class<?> type = loader.loadClass("tlc2.TLC");
      Object checker = type.getConstructor().newInstance();
      String[] arguments = {
        "-workers",
        "2",
        "-metadir",
        states.toString(),
        "-config",
        config.toString(),
        "-cleanup",
        "-nowarning",
        module.toString()
      };
      Method handle = type.getMethod("handleParameters", String[].class);
      assertEquals(true, handle.invoke(checker, (Object) arguments));
      Class<?> resolver = loader.loadClass("util.FilenameToStream");
      Object files = loader.loadClass("util.SimpleFilenameToStream").getConstructor().newInstance();
      type.getMethod("setResolver", resolver).invoke(checker, files);
      return (int) type.getMethod("process").invoke(checker);
    }
  }
}
