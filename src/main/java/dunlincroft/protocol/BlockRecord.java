package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stored record of a block: machines of one class that are leased to a shard together.
 *
 * @param hosts the machines of the block, each with the time of day of its rental in milliseconds
 */
public record BlockRecord(String shard, BlockClass blockClass, Map<String, Long> hosts) {
  public BlockRecord {
    hosts = Collections.unmodifiableMap(new LinkedHashMap<>(hosts));
  }

  /**
   * Parses a block. Blocks of the previous version have one machine each and no field {@code
   * hosts}; their name is the machine's name.
   */
  public static BlockRecord parse(String name, JsonNode map) throws MalformedException {
    Map<String, Long> hosts = new LinkedHashMap<>();
    JsonNode list = map.get("hosts");
    if (list == null) {
      hosts.put(name, Fields.count(map, "at"));
    } else if (list.isObject()) {
      for (Iterator<String> names = list.fieldNames(); names.hasNext(); ) {
        String host = names.next();
        hosts.put(host, Fields.count(list, host));
      }
    } else {
      throw new MalformedException("hosts must be a map");
    }
    return new BlockRecord(
        Fields.text(map, "shard"),
        new BlockClass(
            Fields.text(map, "flavour"), Fields.text(map, "hall"), Fields.flag(map, "lendable")),
        hosts);
  }

  public ObjectNode toNode() {
    ObjectNode map =
        Cbor.map()
            .put("shard", shard)
            .put("flavour", blockClass.machineType())
            .put("hall", blockClass.zone())
            .put("lendable", blockClass.preemptible());
    ObjectNode list = map.putObject("hosts");
    hosts.forEach(list::put);
    return map;
  }

  /** The block without the given machines. */
  public BlockRecord without(Collection<String> removed) {
    Map<String, Long> remaining = new LinkedHashMap<>(hosts);
    remaining.keySet().removeAll(removed);
    return new BlockRecord(shard, blockClass, remaining);
  }

  /** A block of only the selected machines, leased to another shard. */
  public BlockRecord subset(Collection<String> selected, String newShard) {
    Map<String, Long> selectedHosts = new LinkedHashMap<>(hosts);
    selectedHosts.keySet().retainAll(selected);
    return new BlockRecord(newShard, blockClass, selectedHosts);
  }
}
