import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: objects by kind and name, lists, watches and writes. */
final class Store implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final int PAGE = 500;

  private record Event(long revision, String kind, boolean deleted, ObjectNode object) {}

  private final HttpServer server;
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 1;

  /** While true, calls are read and get no response. */
  private boolean silent;

  Store(String ip) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/objects/", this::handle);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  synchronized void setSilent(boolean value) {
    silent = value;
    notifyAll();
  }

  /** Writes the spec of an object, as the operator or an instance does. */
  synchronized void write(String kind, String name, JsonNode spec) {
    ObjectNode old = objects(kind).get(name);
    put(kind, name, old, spec, old == null ? null : old.get("status"));
  }

  synchronized void remove(String kind, String name) {
    ObjectNode old = objects(kind).remove(name);
    if (old != null) {
      history.add(new Event(++revision, kind, true, old));
      notifyAll();
    }
  }

  private TreeMap<String, ObjectNode> objects(String kind) {
    return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
  }

  private ObjectNode put(String kind, String name, ObjectNode old, JsonNode spec, JsonNode status) {
    revision++;
    ObjectNode object = JSON.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", name).put("rev", revision);
    metadata.put("created", old == null ? revision : old.path("metadata").path("created").asLong());
    metadata.putArray("finalizers");
    metadata.put("deleting", false);
    object.set("spec", spec);
    object.set("status", status == null ? JSON.nullNode() : status);
    objects(kind).put(name, object);
    history.add(new Event(revision, kind, false, object));
    notifyAll();
    return object;
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    int status;
    JsonNode answer;
    try {
      synchronized (this) {
        if (silent) {
          awaitForever();
        }
        String[] parts = exchange.getRequestURI().getPath().split("/");
        String kind = parts[2];
        String name = parts.length > 3 ? parts[3] : null;
        boolean statusOnly = parts.length > 4 && parts[4].equals("status");
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        ObjectNode old = name == null ? null : objects(kind).get(name);
        switch (exchange.getRequestMethod()) {
          case "GET" -> {
            if (name != null) {
              status = old == null ? 404 : 200;
              answer = old;
            } else if (query.containsKey("watch")) {
              answer = watch(kind, query);
              status = 200;
            } else {
              answer = list(kind, query.get("after"));
              status = 200;
            }
          }
          case "POST" -> {
            JsonNode sent = JSON.readTree(body);
            String newName = sent.path("metadata").path("name").asText();
            ObjectNode existing = objects(kind).get(newName);
            status = existing == null ? 201 : 409;
            answer =
                existing == null ? put(kind, newName, null, sent.path("spec"), null) : existing;
          }
          case "PUT" -> {
            JsonNode sent = JSON.readTree(body);
            JsonNode rev = sent.path("metadata").path("rev");
            if (old == null) {
              status = 404;
              answer = null;
            } else if (rev.isNumber()
                && rev.asLong() != old.path("metadata").path("rev").asLong()) {
              status = 409;
              answer = old;
            } else {
              status = 200;
              answer =
                  statusOnly
                      ? put(kind, name, old, old.get("spec"), sent.path("status"))
                      : put(kind, name, old, sent.path("spec"), old.get("status"));
            }
          }
          default -> {
            status = old == null ? 404 : 200;
            answer = old;
            remove(kind, name);
          }
        }
      }
    } catch (InterruptedException e) {
      exchange.close();
      return;
    }
    byte[] bytes = answer == null ? new byte[0] : JSON.writeValueAsBytes(answer);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  private void awaitForever() throws InterruptedException {
    while (true) {
      wait();
    }
  }

  private JsonNode list(String kind, String after) {
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode items = answer.putArray("items");
    boolean more = false;
    for (Map.Entry<String, ObjectNode> entry : objects(kind).entrySet()) {
      if (after != null && entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() >= PAGE) {
        more = true;
        break;
      }
      items.add(entry.getValue());
    }
    answer.put("has-more", more);
    answer.put("store-revision", revision);
    return answer;
  }

  private JsonNode watch(String kind, Map<String, String> query) throws InterruptedException {
    long since = Long.parseLong(query.get("watch"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
    ArrayNode events = JSON.createArrayNode();
    while (true) {
      if (silent) {
        awaitForever();
      }
      for (Event event : history) {
        if (event.revision > since && event.kind.equals(kind)) {
          events.addObject().put("deleted", event.deleted).set("object", event.object);
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        break;
      }
      wait(left);
    }
    ObjectNode answer = JSON.createObjectNode();
    answer.set("events", events);
    answer.put("store-revision", revision);
    return answer;
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    if (text != null) {
      for (String pair : text.split("&")) {
        int equals = pair.indexOf('=');
        values.put(
            equals < 0 ? pair : pair.substring(0, equals),
            equals < 0
                ? ""
                : java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
