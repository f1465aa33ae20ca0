package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type that the cloud provider offers.
 *
 * @param spotPrice price of a preemptible machine; {@code lowPrice} on the wire, and {@link
 *     Double#MAX_VALUE} if there are none of this type
 * @param startupS usual time from the rental to the start of the worker
 * @param zones the zones that offer the type; {@code halls} on the wire
 */
public record MachineType(
    String label,
    Resources resources,
    double price,
    double spotPrice,
    double startupS,
    List<String> zones) {

  public static MachineType parse(JsonNode map) throws MalformedException {
    List<String> zones = Fields.textsOrNull(map, "halls");
    return new MachineType(
        Fields.text(map, "label"),
        Resources.roundedDown(
            Fields.amount(map, "cpus"),
            Fields.amountOr(map, "gpus", 0),
            Fields.amount(map, "ramGb")),
        Fields.amount(map, "price"),
        Fields.amountOr(map, "lowPrice", Double.MAX_VALUE),
        Fields.amount(map, "startupS"),
        zones == null ? List.of() : zones);
  }

  public static List<MachineType> parseAll(JsonNode map) throws MalformedException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode item : Fields.list(map, "flavours")) {
      types.add(parse(item));
    }
    return types;
  }

  public static ObjectNode toNode(List<MachineType> types) {
    ObjectNode map = Cbor.map();
    var list = map.putArray("flavours");
    for (MachineType type : types) {
      ObjectNode item = list.addObject().put("label", type.label);
      type.resources.write(item);
      item.put("price", type.price).put("lowPrice", type.spotPrice).put("startupS", type.startupS);
      type.zones.forEach(item.putArray("halls")::add);
    }
    return map;
  }
}
