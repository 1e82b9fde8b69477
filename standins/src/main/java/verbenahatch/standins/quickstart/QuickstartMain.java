package verbenahatch.standins.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import verbenahatch.standins.Caller;

/**
 * Sends the requests of the quick start and compares the answers with the targets' own logs.
 *
 * <p>The last line is {@code <served> served, <refused> refused, <wrong> wrong}; each wrong answer
 * has a line of its own before it. Exit code 0 if none is wrong.
 */
@Command(name = "quickstart", mixinStandardHelpOptions = true)
public final class QuickstartMain implements Callable<Integer> {

  private static final int ROUNDS = 20;
  private static final long WAIT_SECONDS = 30;

  /** The promised bound between the withdrawal of a key and its last use, in seconds. */
  private static final long WITHDRAWAL_SECONDS = 3;

  @Option(names = "--entry", required = true, description = "Base URL of an entry host.")
  private List<String> entries = new ArrayList<>();

  @Option(names = "--target", required = true, description = "Control URL of a target.")
  private List<String> targets = new ArrayList<>();

  @Option(names = "--key", required = true, description = "A key of a workspace.")
  private String key = "";

  @Option(names = "--withdrawn", description = "Expect that the key was withdrawn just now.")
  private boolean withdrawn;

  private int served;
  private int refused;
  private int wrong;

  private QuickstartMain() {}

  /**
   * Starts the command.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new QuickstartMain()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    try (Caller caller = new Caller()) {
      if (withdrawn) {
        expectWithdrawal(caller);
      } else {
        serve(caller);
      }
    }
    System.out.println(served + " served, " + refused + " refused, " + wrong + " wrong");
    return wrong == 0 ? 0 : 1;
  }

  private void serve(Caller caller) throws InterruptedException {
    awaitService(caller);
    for (int i = 0; i < ROUNDS; i++) {
      String entry = entries.get(i % entries.size());
      String path = "/catalogue/proof-" + i;
      expectServed(caller.get(entry + path, null), path, "");
      path = "/orders/" + i;
      expectServed(caller.get(entry + path, key), path, "quickstart");
      expectRefused(caller.get(entry + path, null), 401);
      expectRefused(caller.get(entry + path, "vh_unknown"), 401);
      expectRefused(caller.get(entry + "/nowhere", null), 404);
    }
    bookTwice(caller);
    expectNoKeyAtTargets(caller);
  }

  private void awaitService(Caller caller) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    for (String entry : entries) {
      while (!caller.get(entry + "/orders/ready", key).isServed()) {
        if (System.nanoTime() - deadline > 0) {
          wrong("no service at " + entry + " after " + WAIT_SECONDS + " s");
          return;
        }
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
  }

  /** Submits each booking through two hosts; the targets' logs must show exactly one run. */
  private void bookTwice(Caller caller) throws InterruptedException {
    for (int i = 0; i < ROUNDS; i++) {
      String path = "/deposits/" + i;
      String submission = "deposit-" + i;
      String first = entries.get(i % entries.size());
      String second = entries.get((i + 1) % entries.size());
      expectServed(submit(caller, first + path, submission), path, "quickstart");
      Caller.Response repeat = submit(caller, second + path, submission);
      if (repeat.isServed()) {
        wrong("booking " + i + " was served twice");
      } else {
        refused++;
      }
    }
    Map<String, Integer> runs = runs(caller);
    for (int i = 0; i < ROUNDS; i++) {
      int count = runs.getOrDefault("/deposits/" + i, 0);
      if (count != 1) {
        wrong("booking " + i + " ran " + count + " times");
      }
    }
  }

  private Caller.Response submit(Caller caller, String url, String submission)
      throws InterruptedException {
    Map<String, String> headers = new HashMap<>(Caller.credentials(key));
    headers.put("Idempotency-Key", submission);
    return caller.send("POST", url, headers, "{}");
  }

  private Map<String, Integer> runs(Caller caller) throws InterruptedException {
    Map<String, Integer> runs = new HashMap<>();
    for (String target : targets) {
      JsonNode log = caller.get(target + "/log?after=0", null).body();
      if (log == null) {
        wrong("no log from " + target);
        continue;
      }
      log.forEach(entry -> runs.merge(entry.path("path").asText(), 1, Integer::sum));
    }
    return runs;
  }

  private void expectNoKeyAtTargets(Caller caller) throws InterruptedException {
    for (String target : targets) {
      JsonNode heads = caller.get(target + "/heads", null).body();
      if (heads == null || heads.toString().contains(key)) {
        wrong("a key may have reached " + target);
      }
    }
  }

  private void expectWithdrawal(Caller caller) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WITHDRAWAL_SECONDS);
    for (String entry : entries) {
      Caller.Response answer = caller.get(entry + "/orders/late", key);
      while (answer.isServed() && System.nanoTime() - deadline < 0) {
        served++;
        TimeUnit.MILLISECONDS.sleep(50);
        answer = caller.get(entry + "/orders/late", key);
      }
      expectRefused(answer, 401);
    }
  }

  private void expectServed(Caller.Response answer, String path, @Nullable String workspace) {
    if (!answer.isServed()) {
      wrong(path + " answered " + answer);
      return;
    }
    if (!answer.text("path").equals(path) || !answer.text("workspace").equals(workspace)) {
      wrong(path + " got the answer of another request: " + answer);
      return;
    }
    served++;
  }

  private void expectRefused(Caller.Response answer, int status) {
    if (answer.status() != status || !answer.outcome().equals("not-run")) {
      wrong("expected " + status + " not-run, got " + answer);
      return;
    }
    refused++;
  }

  private void wrong(String what) {
    wrong++;
    System.out.println("wrong: " + what);
  }
}
