package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An entry of the cloud provider's machine list.
 *
 * @param endpoint address of the machine's worker, or null if it has none yet
 * @param machineType {@code flavour} on the wire
 * @param zone {@code hall} on the wire
 * @param preemptible {@code lendable} on the wire
 * @param rentedS seconds since the machine was rented; {@code heldS} on the wire
 */
public record MachineListing(
    String host,
    String endpoint,
    String machineType,
    String zone,
    boolean preemptible,
    String status,
    double rentedS) {

  /** Status of a machine that has failed. */
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
