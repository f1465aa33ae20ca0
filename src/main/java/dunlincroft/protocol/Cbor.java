package dunlincroft.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes and decodes message bodies. Every body on every interface is one CBOR map. */
public final class Cbor {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new CBORFactory()).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Cbor() {}

  /** Parses a body; throws {@link MalformedException} unless it is exactly one CBOR map. */
  public static ObjectNode parse(byte[] body) throws MalformedException {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (node instanceof ObjectNode map) {
        return map;
      }
      throw new MalformedException("the body is not a map");
    } catch (IOException e) {
      throw new MalformedException("the body is not CBOR");
    }
  }

  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }
}
