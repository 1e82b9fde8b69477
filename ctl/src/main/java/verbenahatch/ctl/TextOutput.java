package verbenahatch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Renders JSON as text for people: named values, and tables for lists of flat records. */
final class TextOutput {

  private TextOutput() {}

  /** Renders a value; every line ends with a line feed. */
  static String render(JsonNode value) {
    StringBuilder text = new StringBuilder();
    render(value, "", text);
    return text.toString();
  }

  private static void render(JsonNode value, String indent, StringBuilder text) {
    if (value.isObject()) {
      value.properties().forEach(entry -> renderNamed(entry, indent, text));
    } else if (value.isArray()) {
      renderList(value, indent, text);
    } else {
      String line = value.asText();
      text.append(indent).append(line);
      text.append(line.endsWith("\n") ? "" : "\n");
    }
  }

  private static void renderNamed(
      Map.Entry<String, JsonNode> entry, String indent, StringBuilder text) {
    JsonNode value = entry.getValue();
    text.append(indent).append(entry.getKey()).append(':');
    if (value.isContainerNode() && !value.isEmpty() && !isFlatList(value)) {
      text.append('\n');
      render(value, indent + "  ", text);
    } else {
      text.append(' ').append(cellText(value)).append('\n');
    }
  }

  private static void renderList(JsonNode list, String indent, StringBuilder text) {
    boolean isTable = !list.isEmpty();
    for (JsonNode element : list) {
      isTable &= element.isObject() && isFlat(element);
    }
    if (isTable) {
      renderTable(list, indent, text);
      return;
    }
    for (JsonNode element : list) {
      if (element.isObject()) {
        text.append(indent).append("-\n");
      }
      render(element, indent + "  ", text);
    }
  }

  private static void renderTable(JsonNode rows, String indent, StringBuilder text) {
    List<String> columns = columns(rows);
    List<List<String>> cells = new ArrayList<>();
    cells.add(columns);
    for (JsonNode row : rows) {
      cells.add(columns.stream().map(column -> cellText(row.path(column))).toList());
    }
    for (List<String> row : cells) {
      StringBuilder line = new StringBuilder(indent);
      for (int i = 0; i < columns.size(); i++) {
        int column = i;
        int width = cells.stream().mapToInt(other -> other.get(column).length()).max().orElse(0);
        line.append(row.get(i)).append(" ".repeat(width - row.get(i).length() + 2));
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
  }

  private static List<String> columns(JsonNode rows) {
    List<String> columns = new ArrayList<>();
    TreeSet<String> knownColumns = new TreeSet<>();
    for (JsonNode row : rows) {
      Iterator<String> names = row.fieldNames();
      while (names.hasNext()) {
        String name = names.next();
        if (knownColumns.add(name)) {
          columns.add(name);
        }
      }
    }
    return columns;
  }

  private static boolean isFlat(JsonNode object) {
    for (JsonNode value : object) {
      if (value.isContainerNode() && !isFlatList(value)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isFlatList(JsonNode value) {
    if (!value.isArray()) {
      return false;
    }
    for (JsonNode element : value) {
      if (element.isContainerNode()) {
        return false;
      }
    }
    return true;
  }

  private static String cellText(JsonNode value) {
    if (value.isArray()) {
      List<String> texts = new ArrayList<>();
      value.forEach(element -> texts.add(element.asText()));
      return texts.isEmpty() ? "-" : String.join(", ", texts);
    }
    return value.isMissingNode() || value.isNull() || value.isObject() ? "-" : value.asText();
  }
}
