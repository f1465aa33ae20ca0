package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads typed fields of a map. A missing or mistyped field is reported by a {@link
 * MalformedException} that names it.
 */
public final class Fields {
  private Fields() {}

  /** Whether a field is missing or null. */
  public static boolean isAbsent(JsonNode map, String field) {
    JsonNode node = map.get(field);
    return node == null || node.isNull();
  }

  public static String text(JsonNode map, String field) throws MalformedException {
    JsonNode node = map.get(field);
    if (node == null || !node.isTextual()) {
      throw new MalformedException(field + " must be text");
    }
    return node.textValue();
  }

  public static String textOrNull(JsonNode map, String field) throws MalformedException {
    return isAbsent(map, field) ? null : text(map, field);
  }

  public static boolean flag(JsonNode map, String field) throws MalformedException {
    JsonNode node = map.get(field);
    if (node == null || !node.isBoolean()) {
      throw new MalformedException(field + " must be true or false");
    }
    return node.booleanValue();
  }

  /** Reads a finite, non-negative number. */
  public static double amount(JsonNode map, String field) throws MalformedException {
    JsonNode node = map.get(field);
    if (node == null || !node.isNumber()) {
      throw new MalformedException(field + " must be a number");
    }
    double value = node.doubleValue();
    if (!Double.isFinite(value) || value < 0) {
      throw new MalformedException(field + " must be finite and not negative");
    }
    return value;
  }

  public static double amountOr(JsonNode map, String field, double defaultValue)
      throws MalformedException {
    return isAbsent(map, field) ? defaultValue : amount(map, field);
  }

  /** Reads an integer from 0 to 2^63-1. */
  public static long count(JsonNode map, String field) throws MalformedException {
    JsonNode node = map.get(field);
    if (node == null || !node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new MalformedException(field + " must be a whole number");
    }
    if (node.longValue() < 0) {
      throw new MalformedException(field + " must not be negative");
    }
    return node.longValue();
  }

  public static List<String> textsOrNull(JsonNode map, String field) throws MalformedException {
    if (isAbsent(map, field)) {
      return null;
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : list(map, field)) {
      if (!item.isTextual()) {
        throw new MalformedException(field + " must be a list of texts");
      }
      texts.add(item.textValue());
    }
    return texts;
  }

  public static JsonNode list(JsonNode map, String field) throws MalformedException {
    JsonNode node = map.get(field);
    if (node == null || !node.isArray()) {
      throw new MalformedException(field + " must be a list");
    }
    return node;
  }
}
