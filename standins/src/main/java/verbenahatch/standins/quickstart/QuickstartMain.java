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
 * Sends the requests of the quick start and checks the responses against the targets' own logs.
 *
 * <p>The last line of the output is {@code <served> served, <refused> refused, <wrong> wrong}; each
 * wrong result is printed on its own line before it. The exit code is 0 if no result is wrong,
 * otherwise 1.
 */
@Command(name = "quickstart", mixinStandardHelpOptions = true)
public final class QuickstartMain implements Callable<Integer> {

  private static final int ROUNDS = 20;
  private static final long READY_TIMEOUT_SECONDS = 30;

  /** Guaranteed bound on the time from the withdrawal of a key to its last use, in seconds. */
  private static final long MAX_WITHDRAWAL_SECONDS = 3;

  @Option(
      names = "--entry",
      required = true,
      description = "Base URL of a host that accepts callers' requests.")
  private List<String> entries = new ArrayList<>();

  @Option(names = "--target", required = true, description = "Control URL of a target.")
  private List<String> targets = new ArrayList<>();

  @Option(names = "--key", required = true, description = "A key of the workspace.")
  private String key = "";

  @Option(
      names = "--withdrawn",
      description = "Check that the key, withdrawn just before, is refused.")
  private boolean withdrawn;

  private int served;
  private int refused;
  private int wrong;

  private QuickstartMain() {}

  /**
   * Runs the command and exits with its exit code.
   *
   * @param args the command-line arguments
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
        checkRequests(caller);
      }
    }
    System.out.println(served + " served, " + refused + " refused, " + wrong + " wrong");
    return wrong == 0 ? 0 : 1;
  }

  private void checkRequests(Caller caller) throws InterruptedException {
    awaitReady(caller);
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
    submitTwice(caller);
    expectNoKeyAtTargets(caller);
  }

  private void awaitReady(Caller caller) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    for (String entry : entries) {
      while (!caller.get(entry + "/orders/ready", key).isServed()) {
        if (System.nanoTime() - deadline > 0) {
          recordWrong("no request served at " + entry + " after " + READY_TIMEOUT_SECONDS + " s");
          return;
        }
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
  }

  /** Submits each deposit through two hosts; the targets' logs must show exactly one run. */
  private void submitTwice(Caller caller) throws InterruptedException {
    for (int i = 0; i < ROUNDS; i++) {
      String path = "/deposits/" + i;
      String submission = "deposit-" + i;
      String first = entries.get(i % entries.size());
      String second = entries.get((i + 1) % entries.size());
      expectServed(submit(caller, first + path, submission), path, "quickstart");
      Caller.Response secondResponse = submit(caller, second + path, submission);
      if (secondResponse.isServed()) {
        recordWrong("deposit " + i + " was served twice");
      } else {
        refused++;
      }
    }
    Map<String, Integer> runs = runs(caller);
    for (int i = 0; i < ROUNDS; i++) {
      int count = runs.getOrDefault("/deposits/" + i, 0);
      if (count != 1) {
        recordWrong("deposit " + i + " ran " + count + " times");
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
        recordWrong("no log from " + target);
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
        recordWrong("the key may have been forwarded to " + target);
      }
    }
  }

  private void expectWithdrawal(Caller caller) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WITHDRAWAL_SECONDS);
    for (String entry : entries) {
      Caller.Response response = caller.get(entry + "/orders/late", key);
      while (response.isServed() && System.nanoTime() - deadline < 0) {
        served++;
        TimeUnit.MILLISECONDS.sleep(50);
        response = caller.get(entry + "/orders/late", key);
      }
      expectRefused(response, 401);
    }
  }

  private void expectServed(Caller.Response response, String path, @Nullable String workspace) {
    if (!response.isServed()) {
      recordWrong(path + " was not served: " + response);
      return;
    }
    if (!response.text("path").equals(path) || !response.text("workspace").equals(workspace)) {
      recordWrong(path + " got the response to another request: " + response);
      return;
    }
    served++;
  }

  private void expectRefused(Caller.Response response, int status) {
    if (response.status() != status || !response.outcome().equals("not-run")) {
      recordWrong("expected " + status + " not-run, got " + response);
      return;
    }
    refused++;
  }

  private void recordWrong(String description) {
    wrong++;
    System.out.println("wrong: " + description);
  }
}
