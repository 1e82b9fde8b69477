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

  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final String ENVIRONMENT = "/v1/environments/production";

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Caller caller;
  private final Map<String, List<Response>> submissions = new HashMap<>();
  private final ConcurrentLinkedQueue<Response> responses = new ConcurrentLinkedQueue<>();
  private @Nullable TestFleet startedFleet;
  private InMemoryObjectStore.@Nullable Snapshot snapshot;
  private String key = "";
  private double rate;
  private double burst;
  private double floodSeconds;

  /**
   * Creates the steps of one scenario.
   *
   * @throws Exception if the caller cannot start
   */
  public PromiseSteps() throws Exception {
    caller = new Caller();
  }

  /**
   * Stops the threads, the caller and the fleet of the scenario.
   *
   * @throws Exception if one of them fails to stop
   */
  @After
  public void stop() throws Exception {
    executor.shutdownNow();
    caller.close();
    fleet().close();
  }

  /** Starts the fleet. */
  @Given("a fleet that serves {string} at {double} requests a second with a burst of {double}")
  public void start(String workspace, double rate, double burst) throws Exception {
    this.rate = rate;
    this.burst = burst;
    startedFleet = new TestFleet(rate, burst);
    await(START_TIMEOUT, () -> everyHost(host -> isServed(host, "/catalogue/ready", null)));
  }

  /** Issues a key through one host and waits until every host accepts it. */
  @Given("a key of {string} that every host accepts")
  public void issueKey(String workspace) throws Exception {
    await(START_TIMEOUT, () -> issue(workspace));
    await(START_TIMEOUT, () -> everyHost(host -> isServed(host, "/orders/ready", key)));
  }

  private boolean issue(String workspace) throws InterruptedException {
    key = sendAsOperator("POST", 0, ENVIRONMENT + "/keys?workspace=" + workspace).text("key");
    return !key.isEmpty();
  }

  /** Makes the store available or unavailable. */
  @Given("the store is {word}")
  public void setStore(String state) {
    fleet().store.setFaults(state.equals("down") ? StoreFaults.DOWN : StoreFaults.NONE);
  }

  /** Withdraws the key through the second host. */
  @When("an operator withdraws the key")
  public void withdraw() throws Exception {
    Response response = sendAsOperator("DELETE", 1, ENVIRONMENT + "/keys/" + KeyHash.of(key));
    assertEquals("true", response.text("accepted"), response.toString());
  }

  /** Checks that every host refuses the key in time. */
  @Then("every host refuses the key as {string} within {int} seconds")
  public void expectRefusal(String outcome, int limitSeconds) throws Exception {
    Duration limit = Duration.ofSeconds(limitSeconds);
    await(limit, () -> everyHost(host -> !isServed(host, "/orders/late", key)));
    for (int host = 0; host < fleet().hosts.size(); host++) {
      Response response = caller.get(fleet().entry(host) + "/orders/late", key);
      assertEquals(401, response.status());
      assertEquals(outcome, response.outcome());
    }
  }

  /** Checks what the administration API reports about the withdrawal. */
  @Then("the withdrawal is in force")
  public void expectInForce() throws Exception {
    String path = ENVIRONMENT + "/keys/" + KeyHash.of(key);
    await(
        Duration.ofSeconds(3), () -> sendAsOperator("GET", 1, path).text("inForce").equals("true"));
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
      submissions.put(path, results(executor.invokeAll(calls)));
    }
  }

  private static List<Response> results(List<Future<Response>> futures) throws Exception {
    List<Response> results = new ArrayList<>();
    for (Future<Response> future : futures) {
      results.add(future.get(20, TimeUnit.SECONDS));
    }
    return results;
  }

  /** Checks in the targets' logs that no deposit ran twice and that at least 90% of them ran. */
  @Then("the targets ran each deposit at most once")
  public void expectAtMostOnce() {
    Map<String, Integer> runs = runs();
    int totalRuns = 0;
    for (String path : submissions.keySet()) {
      int count = runs.getOrDefault(path, 0);
      assertTrue(count <= 1, path + " ran " + count + " times");
      totalRuns += count;
    }
    assertTrue(totalRuns * 10 >= submissions.size() * 9, "only " + totalRuns + " deposits ran");
  }

  /** Checks the refusals against the targets' logs. */
  @Then("each answer that says {string} is true")
  public void expectTrueRefusals(String outcome) {
    Map<String, Integer> runs = runs();
    submissions.forEach(
        (path, results) -> {
          long refused = results.stream().filter(a -> a.outcome().equals(outcome)).count();
          boolean ran = runs.getOrDefault(path, 0) > 0;
          assertFalse(ran && refused == results.size(), path + " ran: " + results);
          long served = results.stream().filter(Response::isServed).count();
          assertEquals(ran ? 1 : 0, served, path + ": " + results);
        });
  }

  /** Sends requests from four threads to each host. */
  @When("callers send as fast as they can through every host for {int} seconds")
  public void flood(int durationSeconds) throws Exception {
    long startNanos = System.nanoTime();
    long endNanos = startNanos + TimeUnit.SECONDS.toNanos(durationSeconds);
    List<Callable<Boolean>> loops = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String url = fleet().entry(i % 3) + "/orders/flood";
      loops.add(
          () -> {
            while (System.nanoTime() - endNanos < 0) {
              responses.add(caller.get(url, key));
            }
            return true;
          });
    }
    for (Future<Boolean> loop : executor.invokeAll(loops)) {
      assertTrue(loop.get(30, TimeUnit.SECONDS));
    }
    floodSeconds = (System.nanoTime() - startNanos) / 1e9;
  }

  /** Checks the number of requests in the targets' logs against the limit. */
  @Then("the targets ran no more than the rate and burst allow")
  public void expectInsideLimit() {
    double allowed = burst + rate * floodSeconds;
    int ran = runs().getOrDefault("/orders/flood", 0);
    assertTrue(ran <= allowed, ran + " ran, " + allowed + " allowed in " + floodSeconds + " s");
  }

  /** Keeps the check above from passing on a fleet that serves nothing. */
  @Then("the targets ran at least half of what the rate allows")
  public void expectHalfOfRate() {
    int ran = runs().getOrDefault("/orders/flood", 0);
    assertTrue(ran >= rate * floodSeconds / 2, ran + " ran in " + floodSeconds + " s");
  }

  /** Sends the key in several headers and a query parameter of one request. */
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

  /** Searches the request heads that the targets logged for the key. */
  @Then("no target saw the key")
  public void expectNoKey() {
    assertTrue(runs().keySet().stream().anyMatch(path -> path.startsWith("/orders/copy")));
    for (TargetServer target : fleet().targets) {
      assertFalse(target.log().heads().toString().contains(key), target.options().id());
    }
  }

  /** Stops one host while callers use the hosts that the entry advice of any host names. */
  @When("a host stops while callers follow the entry advice")
  public void stopHost() throws Exception {
    Thread stoppingThread = new Thread(() -> fleet().hosts.get(2).close());
    List<Callable<Boolean>> loops = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      int initialHost = i % 3;
      loops.add(() -> followAdvice(initialHost, stoppingThread));
    }
    List<Future<Boolean>> running = new ArrayList<>();
    loops.forEach(loop -> running.add(executor.submit(loop)));
    stoppingThread.start();
    for (Future<Boolean> loop : running) {
      assertTrue(loop.get(60, TimeUnit.SECONDS));
    }
    stoppingThread.join();
  }

  /** Uses the first host of the advice and renews the advice when its time to live has expired. */
  private boolean followAdvice(int initialHost, Thread stoppingThread) throws InterruptedException {
    String entry = fleet().entry(initialHost);
    long renewalNanos = System.nanoTime();
    long endNanos = Long.MAX_VALUE;
    while (System.nanoTime() < endNanos) {
      if (System.nanoTime() - renewalNanos >= 0) {
        entry = advise(entry);
        renewalNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      }
      responses.add(caller.get(entry + "/catalogue/stop", null));
      if (endNanos == Long.MAX_VALUE && stoppingThread.getState() == Thread.State.TERMINATED) {
        endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      }
    }
    return true;
  }

  /** Requests advice from a host, or from the first two hosts if it does not serve the request. */
  private String advise(String entry) throws InterruptedException {
    Response advice = caller.get(entry + "/v1/entry", null);
    for (int host = 0; host < 2 && !advice.isServed(); host++) {
      advice = caller.get(fleet().entry(host) + "/v1/entry", null);
    }
    return advice.textOfFirst("hosts", "url");
  }

  /** Checks every response of the scenario. */
  @Then("no request failed")
  public void expectNoFailure() {
    assertTrue(responses.size() > 100, "only " + responses.size() + " responses");
    assertEquals(List.of(), responses.stream().filter(response -> !response.isServed()).toList());
  }

  /** Takes a snapshot of the store. */
  @Given("a saved copy of the store")
  public void save() {
    snapshot = fleet().store.snapshot();
  }

  /** Puts a document with another rate and waits until it is in force on every host. */
  @When("an operator changes the rate of {string} to {double}")
  public void changeRate(String workspace, double newRate) throws Exception {
    String document = new String(Json.write(fleet().document(2, newRate, burst)), "UTF-8");
    Response response =
        caller.send(
            "PUT",
            fleet().admin(0) + ENVIRONMENT + "?seen=1",
            Caller.credentials(TestFleet.TOKEN),
            document);
    assertTrue(response.isServed(), response.toString());
    await(Duration.ofSeconds(6), () -> everyHost(host -> generation(host) == 2));
  }

  /** Restores the store from the snapshot. */
  @When("the store is restored to what was saved")
  public void restore() {
    fleet().store.restore(Objects.requireNonNull(snapshot));
  }

  /** Checks repeatedly that the generation in force stays the same. */
  @Then("every host keeps generation {int} for {int} seconds")
  public void expectGeneration(int generation, int durationSeconds) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(durationSeconds);
    while (System.nanoTime() - endNanos < 0) {
      for (int host = 0; host < fleet().hosts.size(); host++) {
        assertEquals(generation, generation(host));
      }
      pause();
    }
  }

  private long generation(int host) throws InterruptedException {
    Response response = sendAsOperator("GET", host, "/v1/status");
    return response.body() == null ? -1 : response.body().path("documentGeneration").asLong();
  }

  private Response sendAsOperator(String method, int host, String path)
      throws InterruptedException {
    Map<String, String> headers = Caller.credentials(TestFleet.TOKEN);
    return caller.send(method, fleet().admin(host) + path, headers, null);
  }

  private boolean isServed(int host, String path, @Nullable String presentedKey)
      throws InterruptedException {
    return caller.get(fleet().entry(host) + path, presentedKey).isServed();
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
    if (startedFleet == null) {
      throw new IllegalStateException("no fleet was started");
    }
    return startedFleet;
  }

  /** A condition on one host; it may send requests to the host. */
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

  private static void await(Duration timeout, Callable<Boolean> condition) throws Exception {
    long endNanos = System.nanoTime() + timeout.toNanos();
    while (!condition.call()) {
      assertTrue(System.nanoTime() - endNanos < 0, "condition not met within " + timeout);
      pause();
    }
  }

  private static void pause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(20);
  }
}
