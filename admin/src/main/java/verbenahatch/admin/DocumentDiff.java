package verbenahatch.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.model.EnvironmentDocument;

/**
 * Computes the differences between two environment documents.
 *
 * <p>Elements of lists are matched by their name, id or block, so that an insertion is not reported
 * as a change of every later element. The generations are not compared.
 */
final class DocumentDiff {

  private static final List<String> ELEMENT_KEYS = List.of("name", "id", "block");

  private DocumentDiff() {}

  /**
   * One difference.
   *
   * @param path the location in the document, for example {@code workspaces[fair].burst}
   * @param before the old value, null if it was absent
   * @param after the new value, null if it is absent
   */
  record Change(String path, @Nullable JsonNode before, @Nullable JsonNode after) {}

  static List<Change> between(EnvironmentDocument before, EnvironmentDocument after) {
    List<Change> changes = new ArrayList<>();
    compare("", tree(before), tree(after), changes);
    changes.removeIf(change -> change.path().equals("generation"));
    return List.copyOf(changes);
  }

  private static JsonNode tree(EnvironmentDocument document) {
    try {
      return Json.readTree(Json.write(document));
    } catch (JsonException e) {
      throw new IllegalStateException("a serialized document must be parseable", e);
    }
  }

  private static void compare(
      String path, @Nullable JsonNode before, @Nullable JsonNode after, List<Change> changes) {
    if (before != null && before.equals(after)) {
      return;
    }
    boolean comparable =
        before != null
            && after != null
            && before.isContainerNode()
            && before.getNodeType() == after.getNodeType();
    if (!comparable || before == null || after == null) {
      changes.add(new Change(path, before, after));
      return;
    }
    Map<String, JsonNode> oldChildren = children(path, before);
    Map<String, JsonNode> newChildren = children(path, after);
    oldChildren.forEach((child, value) -> compare(child, value, newChildren.get(child), changes));
    newChildren.forEach(
        (child, value) -> {
          if (!oldChildren.containsKey(child)) {
            compare(child, null, value, changes);
          }
        });
    if (oldChildren.equals(newChildren)) {
      changes.add(new Change(path, before, after));
    }
  }

  private static Map<String, JsonNode> children(String path, JsonNode node) {
    Map<String, JsonNode> children = new LinkedHashMap<>();
    if (node.isArray()) {
      for (int i = 0; i < node.size(); i++) {
        children.put(path + "[" + elementName(node.get(i), i) + "]", node.get(i));
      }
      return children;
    }
    node.properties()
        .forEach(
            entry -> {
              String child = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
              children.put(child, entry.getValue());
            });
    return children;
  }

  private static String elementName(JsonNode element, int index) {
    for (String property : ELEMENT_KEYS) {
      if (element.path(property).isTextual()) {
        return element.get(property).textValue();
      }
    }
    if (element.path("from").isTextual() && element.path("to").isTextual()) {
      return element.get("from").textValue() + "-" + element.get("to").textValue();
    }
    return element.isTextual() ? element.textValue() : Integer.toString(index);
  }
}
