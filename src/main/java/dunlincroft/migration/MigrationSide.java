package dunlincroft.migration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.Hashing;
import dunlincroft.protocol.MalformedException;
import java.util.Collections;
import java.util.List;

/**
 * Set of machines that forms one side of a migration.
 *
 * @param zones allowed zones, or null for any
 * @param types allowed machine types, or null for any
 * @param spot whether machines must be preemptible (spot) ones, or null for any
 * @param hashFrom lower bound, inclusive, of the hash of the machine's name, scaled to the range
 *     from 0 to 1
 * @param hashTo upper bound, exclusive, of that hash
 */
record MigrationSide(
    List<String> zones, List<String> types, Boolean spot, double hashFrom, double hashTo) {
  /** Whether a machine belongs to the side. */
  boolean contains(String host, String type, String zone, boolean preemptible) {
    double hash = (Hashing.of(host) >>> 11) * 0x1p-53;
    return (zones == null || zones.contains(zone))
        && (types == null || types.contains(type))
        && (spot == null || spot == preemptible)
        && hash >= hashFrom
        && hash < hashTo;
  }

  /** Whether no machine can belong to both sides. */
  boolean isDisjointFrom(MigrationSide other) {
    return (zones != null && other.zones != null && Collections.disjoint(zones, other.zones))
        || (types != null && other.types != null && Collections.disjoint(types, other.types))
        || (spot != null && other.spot != null && !spot.equals(other.spot))
        || hashTo <= other.hashFrom
        || other.hashTo <= hashFrom;
  }

  /** The side as it is stored. */
  ObjectNode toNode() {
    ObjectNode map = Cbor.map().put("from", hashFrom).put("to", hashTo);
    if (zones != null) {
      zones.forEach(map.putArray("zones")::add);
    }
    if (types != null) {
      types.forEach(map.putArray("types")::add);
    }
    if (spot != null) {
      map.put("spot", spot);
    }
    return map;
  }

  /** Reads a side of a document or a record. */
  static MigrationSide parse(JsonNode map) throws MalformedException {
    return new MigrationSide(
        Fields.textsOrNull(map, "zones"),
        Fields.textsOrNull(map, "types"),
        Fields.isAbsent(map, "spot") ? null : Fields.flag(map, "spot"),
        Fields.amountOr(map, "from", 0),
        Fields.amountOr(map, "to", 1));
  }
}
