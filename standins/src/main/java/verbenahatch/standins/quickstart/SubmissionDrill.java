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
 * Submits deposits through several hosts at once while a script kills and pauses processes, and
 * then compares the answers with the targets' own logs.
 *
 * <p>A deposit that ran more than once, that ran although every answer said {@code not-run}, or
 * that did not run although an answer said that it did, is wrong. Exit code 0 if none is wrong.
 */
@Command(name = "drill", mixinStandardHelpOptions = true)
public final class SubmissionDrill implements Callable<Integer> {

  private static final int THREADS = 6;

  @Option(names = "--entry", required = true, description = "Base URL of an entry host.")
  private List<String> entries = new ArrayList<>();

  @Option(names = "--target", required = true, description = "Control URL of a target.")
  private List<String> targets = new ArrayList<>();

  @Option(names = "--key", required = true, description = "A key of a workspace.")
  private String key = "";

  @Option(names = "--seconds", required = true, description = "Length of the drill.")
  private int seconds;

  private final AtomicInteger next = new AtomicInteger();
  private final Map<String, List<Response>> submissions = new ConcurrentHashMap<>();

  private SubmissionDrill() {}

  /**
   * Starts the command.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new SubmissionDrill()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    try (Caller caller = new Caller()) {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
      List<Future<?>> loops = new ArrayList<>();
      for (int i = 0; i < THREADS; i++) {
        loops.add(threads.submit(() -> submitUntil(caller, threads, end)));
      }
      for (Future<?> loop : loops) {
        loop.get();
      }
      return report(caller);
    } finally {
      threads.shutdownNow();
    }
  }

  private Void submitUntil(Caller caller, ExecutorService threads, long end) throws Exception {
    while (System.nanoTime() - end < 0) {
      int number = next.getAndIncrement();
      String path = "/deposits/drill-" + number;
      Map<String, String> headers = headers(caller, number);
      String first = entries.get(number % entries.size()) + path;
      String second = entries.get((number + 1) % entries.size()) + path;
      Future<Response> repeat = threads.submit(() -> caller.send("POST", second, headers, "{}"));
      Response answer = caller.send("POST", first, headers, "{}");
      submissions.put(path, List.of(answer, repeat.get()));
    }
    return null;
  }

  /** Uses a ticket for every other deposit and an idempotency key for the rest. */
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

  private int report(Caller caller) throws InterruptedException {
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
    for (Map.Entry<String, List<Response>> one : submissions.entrySet()) {
      int count = runs.getOrDefault(one.getKey(), 0);
      ran += Math.min(1, count);
      unknown += one.getValue().stream().anyMatch(SubmissionDrill::isUnknown) ? 1 : 0;
      if (isWrong(count, one.getValue())) {
        wrong++;
        System.out.println("wrong: " + one.getKey() + " ran " + count + ": " + one.getValue());
      }
    }
    System.out.printf(
        "drill: %d deposits, %d ran, %d with an unknown answer, %d wrong%n",
        submissions.size(), ran, unknown, wrong);
    return wrong == 0 && ran > 0 ? 0 : 1;
  }

  private static boolean isWrong(int runs, List<Response> answers) {
    boolean allNotRun = answers.stream().allMatch(answer -> answer.outcome().equals("not-run"));
    long served = answers.stream().filter(Response::isServed).count();
    return runs > 1 || (runs == 1 && allNotRun) || served > runs;
  }

  private static boolean isUnknown(Response answer) {
    return answer.status() == 0 || answer.outcome().equals("unknown");
  }
}
