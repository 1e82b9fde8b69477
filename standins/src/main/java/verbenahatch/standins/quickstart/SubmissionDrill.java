package verbenahatch.standins.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import verbenahatch.standins.Caller;
import verbenahatch.standins.Caller.Response;

/**
 * Submits each deposit through two hosts in parallel while a script kills and pauses processes, and
 * then checks the responses against the targets' own logs.
 *
 * <p>A deposit is wrong if it ran more than once, if it ran although every response said {@code
 * not-run}, or if it did not run although a response said that it was served. The exit code is 0 if
 * no deposit is wrong and at least one ran, otherwise 1.
 */
@Command(name = "drill", mixinStandardHelpOptions = true)
public final class SubmissionDrill implements Callable<Integer> {

  private static final int THREADS = 6;

  @Option(
      names = "--entry",
      required = true,
      description = "Base URL of a host that accepts callers' requests.")
  private List<String> entries = new ArrayList<>();

  @Option(names = "--target", required = true, description = "Control URL of a target.")
  private List<String> targets = new ArrayList<>();

  @Option(names = "--key", required = true, description = "A key of a workspace.")
  private String key = "";

  @Option(names = "--seconds", required = true, description = "Duration of the drill in seconds.")
  private int seconds;

  private final AtomicInteger nextNumber = new AtomicInteger();
  private final Map<String, List<Response>> submissions = new ConcurrentHashMap<>();

  private SubmissionDrill() {}

  /**
   * Runs the command and exits with its exit code.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new SubmissionDrill()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    ExecutorService executor = Executors.newCachedThreadPool();
    try (Caller caller = new Caller()) {
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
      List<Future<?>> submitters = new ArrayList<>();
      for (int i = 0; i < THREADS; i++) {
        submitters.add(executor.submit(() -> submitUntil(caller, executor, deadlineNanos)));
      }
      for (Future<?> submitter : submitters) {
        submitter.get();
      }
      return checkRuns(caller);
    } finally {
      executor.shutdownNow();
    }
  }

  private Void submitUntil(Caller caller, ExecutorService executor, long deadlineNanos)
      throws Exception {
    while (System.nanoTime() - deadlineNanos < 0) {
      int number = nextNumber.getAndIncrement();
      String path = "/deposits/drill-" + number;
      Map<String, String> headers = headers(caller, number);
      String first = entries.get(number % entries.size()) + path;
      String second = entries.get((number + 1) % entries.size()) + path;
      Future<Response> secondResponse =
          executor.submit(() -> caller.send("POST", second, headers, "{}"));
      Response response = caller.send("POST", first, headers, "{}");
      submissions.put(path, List.of(response, secondResponse.get()));
    }
    return null;
  }

  /** Returns headers with a ticket for every other deposit and an idempotency key for the rest. */
  private Map<String, String> headers(Caller caller, int number) throws InterruptedException {
    Map<String, String> headers = new HashMap<>(Caller.credentials(key));
    if (number % 2 == 0) {
      String url = entries.get(number / 2 % entries.size()) + "/v1/tickets";
      String ticket = caller.send("POST", url, headers, "{}").text("ticket");
      if (!ticket.isEmpty()) {
        headers.put("Verbenahatch-Ticket", ticket);
        return headers;
      }
    }
    headers.put("Idempotency-Key", "drill-" + number);
    return headers;
  }

  private int checkRuns(Caller caller) throws InterruptedException {
    Map<String, Integer> runs = new HashMap<>();
    for (String target : targets) {
      JsonNode log = caller.get(target + "/log?after=0", null).body();
      if (log == null) {
        System.out.println("wrong: no log from " + target);
        return 1;
      }
      log.forEach(entry -> runs.merge(entry.path("path").asText(), 1, Integer::sum));
    }
    int wrong = 0;
    int ran = 0;
    int unknown = 0;
    for (Map.Entry<String, List<Response>> submission : submissions.entrySet()) {
      int count = runs.getOrDefault(submission.getKey(), 0);
      ran += Math.min(1, count);
      unknown += submission.getValue().stream().anyMatch(SubmissionDrill::isUnknown) ? 1 : 0;
      if (isWrong(count, submission.getValue())) {
        wrong++;
        System.out.println(
            "wrong: " + submission.getKey() + " ran " + count + ": " + submission.getValue());
      }
    }
    System.out.printf(
        "drill: %d deposits, %d ran, %d with an unknown outcome, %d wrong%n",
        submissions.size(), ran, unknown, wrong);
    return wrong == 0 && ran > 0 ? 0 : 1;
  }

  private static boolean isWrong(int runs, List<Response> responses) {
    boolean allNotRun =
        responses.stream().allMatch(response -> response.outcome().equals("not-run"));
    long served = responses.stream().filter(Response::isServed).count();
    return runs > 1 || (runs == 1 && allNotRun) || served > runs;
  }

  private static boolean isUnknown(Response response) {
    return response.status() == 0 || response.outcome().equals("unknown");
  }
}
