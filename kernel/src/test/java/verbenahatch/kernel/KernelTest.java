package verbenahatch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class KernelTest {

  private record FakePlugin(
      String name, Set<Class<?>> requires, Set<Class<?>> provides, List<String> started)
      implements Plugin {
    @Override
    public void start(Kernel kernel) {
      started.add(name);
      provides.forEach(type -> provideText(kernel, type));
    }

    private static void provideText(Kernel kernel, Class<?> type) {
      if (type == String.class) {
        kernel.provide(String.class, "text");
      }
    }
  }

  /** Guards against a plug-in that starts before the service it requires exists. */
  @Test
  void startsProvidersFirst() throws Exception {
    List<String> started = new ArrayList<>();
    try (Kernel kernel = new Kernel(new ManualClock(), Events.none())) {
      kernel.start(
          List.of(
              new FakePlugin("user", Set.of(String.class), Set.of(), started),
              new FakePlugin("provider", Set.of(), Set.of(String.class), started)));
      assertEquals("text", kernel.require(String.class));
    }
    assertEquals(List.of("provider", "user"), started);
  }

  /** Guards against a process that runs without a service that a plug-in requires. */
  @Test
  void rejectsMissingProvider() throws Exception {
    try (Kernel kernel = new Kernel(new ManualClock(), Events.none())) {
      Plugin plugin = new FakePlugin("user", Set.of(String.class), Set.of(), new ArrayList<>());
      PluginException e = assertThrows(PluginException.class, () -> kernel.start(List.of(plugin)));
      assertTrue(e.toString().contains("user requires java.lang.String"));
    }
  }
}
