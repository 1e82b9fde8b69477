package verbenahatch.ctl;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.ParentCommand;

/** A group of commands on one kind of object. */
abstract class CommandGroup implements Runnable {

  @ParentCommand private @Nullable CtlMain main;

  CtlMain main() {
    if (main == null) {
      throw new IllegalStateException("not started through the command line");
    }
    return main;
  }

  @Override
  public void run() {
    throw main().usageError("Give one of the commands of this group; --help lists them.");
  }
}
