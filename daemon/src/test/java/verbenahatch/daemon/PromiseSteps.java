package verbenahatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.model.KeyHash;
import verbenahatch.standins.Caller;
import verbenahatch.standins.Caller.Response;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.StoreFaults;
import verbenahatch.standins.target.RunLog;
import verbenahatch.standins.target.TargetServer;

/** Steps of the scenarios in {@code promises.feature}. */
public final class PromiseSteps {

  private static final Duration START = Duration.ofSeconds(30);
  private static final String ENVIRONMENT = "/v1/environments/production";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Caller caller;
  private final Map<String, List<Response>> submissions = new HashMap<>();
  private final ConcurrentLinkedQueue<Response> answers = new ConcurrentLinkedQueue<>();
  private @Nullable TestFleet started;
  private InMemoryObjectStore.@Nullable Snapshot saved;
  private String key = "";
  private double rate;
  private double burst;
  private double seconds;

  /**
   * Creates the steps of one scenario.
   *
   * @throws Exception if the caller cannot start
   */
  public PromiseSteps() throws Exception {
    caller = new Caller();
  }

  /**
   * Stops everything that the scenario started.
   *
   * @throws Exception if something does not stop
   */
  @After
  public void stop() throws Exception {
    threads.shutdownNow();
    caller.close();
    fleet().close();
  }

  /** Starts the fleet. */
  @Given("a fleet that serves {string} at {double} requests a second with a burst of {double}")
  public void start(String workspace, double rate, double burst) throws Exception {
    this.rate = rate;
    this.burst = burst;
    started = new TestFleet(rate, burst);
    await(START, () -> everyHost(host -> served(host, "/catalogue/ready", null)));
  }

  /** Issues a key through one host and waits for all. */
  @Given("a key of {string} that every host accepts")
  public void issueKey(String workspace) throws Exception {
    await(START, () -> issue(workspace));
    await(START, () -> everyHost(host -> served(host, "/orders/ready", key)));
  }

  private boolean issue(String workspace) throws InterruptedException {
    key = operate("POST", 0, ENVIRONMENT + "/keys?workspace=" + workspace).text("key");
    return !key.isEmpty();
  }

  /** Switches the store. */
  @Given("the store is {word}")
  public void setStore(String state) {
    fleet().store.setFaults(state.equals("down") ? StoreFaults.DOWN : StoreFaults.NONE);
  }

  /** Withdraws the key through the second host. */
  @When("an operator withdraws the key")
  public void withdraw() throws Exception {
    Response answer = operate("DELETE", 1, ENVIRONMENT + "/keys/" + KeyHash.of(key));
    assertEquals("true", answer.text("accepted"), answer.toString());
  }

  /** Checks that the key stops working. */
  @Then("every host refuses the key as {string} within {int} seconds")
  public void expectRefusal(String outcome, int bound) throws Exception {
    Duration limit = Duration.ofSeconds(bound);
    await(limit, () -> everyHost(host -> !served(host, "/orders/late", key)));
    for (int host = 0; host < fleet().hosts.size(); host++) {
      Response answer = caller.get(fleet().entry(host) + "/orders/late", key);
      assertEquals(401, answer.status());
      assertEquals(outcome, answer.outcome());
    }
  }

  /** Checks what the administration API reports about the withdrawal. */
  @Then("the withdrawal is in force")
  public void expectInForce() throws Exception {
    String path = ENVIRONMENT + "/keys/" + KeyHash.of(key);
    await(Duration.ofSeconds(3), () -> operate("GET", 1, path).text("inForce").equals("true"));
  }

  /** Submits each deposit through all hosts in parallel. */
  @When("a client submits {int} deposits, each through every host at once, by {word} {word}")
  public void submitDeposits(int count, String first, String second) throws Exception {
    submitAll(count, first + " " + second);
  }

  /** Submits each deposit through all hosts in parallel. */
  @When("a client submits {int} deposits, each through every host at once, by {word}")
  public void submitDeposits(int count, String means) throws Exception {
    submitAll(count, means);
  }

  private void submitAll(int count, String means) throws Exception {
    for (int i = 0; i < count; i++) {
      String path = "/deposits/" + i;
      Map<String, String> headers = new HashMap<>(Caller.credentials(key));
      if (means.equals("ticket")) {
        Response ticket = caller.send("POST", fleet().entry(i % 3) + "/v1/tickets", headers, "{}");
        headers.put("Verbenahatch-Ticket", ticket.text("ticket"));
      } else {
        headers.put("Idempotency-Key", "deposit-" + i);
      }
      List<Callable<Response>> calls = new ArrayList<>();
      for (int host = 0; host < fleet().hosts.size(); host++) {
        String url = fleet().entry(host) + path;
        calls.add(() -> caller.send("POST", url, headers, "{}"));
      }
      submissions.put(path, results(threads.invokeAll(calls)));
    }
  }

  private static List<Response> results(List<Future<Response>> futures) throws Exception {
    List<Response> results = new ArrayList<>();
    for (Future<Response> future : futures) {
      results.add(future.get(20, TimeUnit.SECONDS));
    }
    return results;
  }

  /** Compares the submissions with the targets' logs. */
  @Then("the targets ran each deposit at most once")
  public void expectAtMostOnce() {
    Map<String, Integer> runs = runs();
    int sum = 0;
    for (String path : submissions.keySet()) {
      int count = runs.getOrDefault(path, 0);
      assertTrue(count <= 1, path + " ran " + count + " times");
      sum += count;
    }
    assertTrue(sum * 10 >= submissions.size() * 9, "only " + sum + " deposits ran");
  }

  /** Compares refusals with the targets' logs. */
  @Then("each answer that says {string} is true")
  public void expectTrueRefusals(String outcome) {
    Map<String, Integer> runs = runs();
    submissions.forEach(
        (path, results) -> {
          long notRun = results.stream().filter(a -> a.outcome().equals(outcome)).count();
          boolean ran = runs.getOrDefault(path, 0) > 0;
          assertFalse(ran && notRun == results.size(), path + " ran: " + results);
          long served = results.stream().filter(Response::isServed).count();
          assertEquals(ran ? 1 : 0, served, path + ": " + results);
        });
  }

  /** Sends from several threads to each host. */
  @When("callers send as fast as they can through every host for {int} seconds")
  public void flood(int duration) throws Exception {
    long start = System.nanoTime();
    long end = start + TimeUnit.SECONDS.toNanos(duration);
    List<Callable<Boolean>> loops = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String url = fleet().entry(i % 3) + "/orders/flood";
      loops.add(
          () -> {
            while (System.nanoTime() - end < 0) {
              answers.add(caller.get(url, key));
            }
            return true;
          });
    }
    for (Future<Boolean> loop : threads.invokeAll(loops)) {
      assertTrue(loop.get(30, TimeUnit.SECONDS));
    }
    seconds = (System.nanoTime() - start) / 1e9;
  }

  /** Compares the targets' logs with the limit. */
  @Then("the targets ran no more than the rate and burst allow")
  public void expectInsideLimit() {
    double allowed = burst + rate * seconds;
    int ran = runs().getOrDefault("/orders/flood", 0);
    assertTrue(ran <= allowed, ran + " ran, " + allowed + " allowed in " + seconds + " s");
  }

  /** Guards the check above against a fleet that serves nothing. */
  @Then("the targets ran at least half of what the rate allows")
  public void expectHalfOfRate() {
    int ran = runs().getOrDefault("/orders/flood", 0);
    assertTrue(ran >= rate * seconds / 2, ran + " ran in " + seconds + " s");
  }

  /** Presents the key in several places of one request. */
  @When("a caller presents the key in every header it may use")
  public void presentEverywhere() throws Exception {
    Map<String, String> headers = new HashMap<>(Caller.credentials(key));
    headers.put("Verbenahatch-Key", key);
    headers.put("Cookie", "session=" + key);
    headers.put("X-Copy", key);
    for (int host = 0; host < fleet().hosts.size(); host++) {
      String url = fleet().entry(host) + "/orders/copy?token=" + key + "&page=1";
      assertTrue(caller.send("GET", url, headers, null).isServed());
    }
  }

  /** Searches what the targets saw. */
  @Then("no target saw the key")
  public void expectNoKey() {
    assertTrue(runs().keySet().stream().anyMatch(path -> path.startsWith("/orders/copy")));
    for (TargetServer target : fleet().targets) {
      assertFalse(target.log().heads().toString().contains(key), target.options().id());
    }
  }

  /** Stops one host while callers use the hosts that the advice of any host names. */
  @When("a host stops while callers follow the entry advice")
  public void stopHost() throws Exception {
    Thread stopping = new Thread(() -> fleet().hosts.get(2).close());
    List<Callable<Boolean>> loops = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      int home = i % 3;
      loops.add(() -> followAdvice(home, stopping));
    }
    List<Future<Boolean>> running = new ArrayList<>();
    loops.forEach(loop -> running.add(threads.submit(loop)));
    stopping.start();
    for (Future<Boolean> loop : running) {
      assertTrue(loop.get(60, TimeUnit.SECONDS));
    }
    stopping.join();
  }

  /** Uses the first host of the advice and renews the advice when its time to live is over. */
  private boolean followAdvice(int home, Thread stopping) throws InterruptedException {
    String entry = fleet().entry(home);
    long renewAt = System.nanoTime();
    long end = Long.MAX_VALUE;
    while (System.nanoTime() < end) {
      if (System.nanoTime() - renewAt >= 0) {
        entry = advise(entry);
        renewAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      }
      answers.add(caller.get(entry + "/catalogue/stop", null));
      if (end == Long.MAX_VALUE && stopping.getState() == Thread.State.TERMINATED) {
        end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      }
    }
    return true;
  }

  /** Asks a host for advice, and the other ones if it is gone. */
  private String advise(String entry) throws InterruptedException {
    Response advice = caller.get(entry + "/v1/entry", null);
    for (int host = 0; host < 2 && !advice.isServed(); host++) {
      advice = caller.get(fleet().entry(host) + "/v1/entry", null);
    }
    return advice.textOfFirst("hosts", "url");
  }

  /** Checks every answer of the scenario. */
  @Then("no request failed")
  public void expectNoFailure() {
    assertTrue(answers.size() > 100, "only " + answers.size() + " answers");
    assertEquals(List.of(), answers.stream().filter(answer -> !answer.isServed()).toList());
  }

  /** Keeps a copy of the store. */
  @Given("a saved copy of the store")
  public void save() {
    saved = fleet().store.snapshot();
  }

  /** Puts a document with another rate. */
  @When("an operator changes the rate of {string} to {double}")
  public void changeRate(String workspace, double next) throws Exception {
    String document = new String(Json.write(fleet().document(2, next, burst)), "UTF-8");
    Response answer =
        caller.send(
            "PUT",
            fleet().admin(0) + ENVIRONMENT + "?seen=1",
            Caller.credentials(TestFleet.TOKEN),
            document);
    assertTrue(answer.isServed(), answer.toString());
    await(Duration.ofSeconds(6), () -> everyHost(host -> generation(host) == 2));
  }

  /** Takes the store back. */
  @When("the store is restored to what was saved")
  public void restore() {
    fleet().store.restore(Objects.requireNonNull(saved));
  }

  /** Watches the generation in force. */
  @Then("every host keeps generation {int} for {int} seconds")
  public void expectGeneration(int generation, int duration) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(duration);
    while (System.nanoTime() - end < 0) {
      for (int host = 0; host < fleet().hosts.size(); host++) {
        assertEquals(generation, generation(host));
      }
      pause();
    }
  }

  private long generation(int host) throws InterruptedException {
    Response answer = operate("GET", host, "/v1/status");
    return answer.body() == null ? -1 : answer.body().path("documentGeneration").asLong();
  }

  private Response operate(String method, int host, String path) throws InterruptedException {
    Map<String, String> headers = Caller.credentials(TestFleet.TOKEN);
    return caller.send(method, fleet().admin(host) + path, headers, null);
  }

  private boolean served(int host, String path, @Nullable String presented)
      throws InterruptedException {
    return caller.get(fleet().entry(host) + path, presented).isServed();
  }

  private Map<String, Integer> runs() {
    Map<String, Integer> runs = new HashMap<>();
    for (TargetServer target : fleet().targets) {
      for (RunLog.Entry entry : target.log().entries(0)) {
        runs.merge(entry.path(), 1, Integer::sum);
      }
    }
    return runs;
  }

  private TestFleet fleet() {
    if (started == null) {
      throw new IllegalStateException("no fleet was started");
    }
    return started;
  }

  /** A condition on one host that may call it. */
  private interface HostCondition {
    boolean test(int host) throws Exception;
  }

  private boolean everyHost(HostCondition condition) throws Exception {
    for (int host = 0; host < fleet().hosts.size(); host++) {
      if (!condition.test(host)) {
        return false;
      }
    }
    return true;
  }

  private static void await(Duration limit, Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.call()) {
      assertTrue(System.nanoTime() - end < 0, "not reached within " + limit);
      pause();
    }
  }

  private static void pause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(20);
  }
}
