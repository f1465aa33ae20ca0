package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/** One machine of the cloud's list. */
public record MachineListing(
    String host,
    String endpoint,
    String machineType,
    String zone,
    boolean preemptible,
    String status,
    double rentedS) {

  public static final String FAILED = "failed";

  public static MachineListing parse(JsonNode map) throws MalformedException {
    return new MachineListing(
        Fields.text(map, "ref"),
        Fields.textOrNull(map, "endpoint"),
        Fields.text(map, "flavour"),
        Fields.text(map, "hall"),
        Fields.flag(map, "lendable"),
        Fields.text(map, "status"),
        Fields.amount(map, "heldS"));
  }
}
