package dunlincroft.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.documents.Documents.Version;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Puts versions of documents into the state service, one change at a time: pages first, the
 * manifest last and guarded, then what no version names any more is swept. Ended at any point it
 * leaves the versions that were there; whoever puts next sweeps what is left over.
 */
public final class DocumentStore {
  /** A request to the state service and its answer; waits as long as it must. */
  public interface StateClient {
    Answer call(String method, String path, ObjectNode body) throws Unreachable;
  }

  /** An answer: its status and, where there is one, its body. */
  public record Answer(int status, JsonNode body) {}

  /** The state service did not answer, or refused for too long. */
  public static final class Unreachable extends Exception {
    private static final long serialVersionUID = 1;

    public Unreachable(String why) {
      super(why);
    }
  }

  /** Somebody else put a version meanwhile: nothing of ours counts. */
  public static final class Conflict extends Exception {
    private static final long serialVersionUID = 1;

    Conflict(String name) {
      super("somebody else has changed " + name + " meanwhile; look at it and try again");
    }
  }

  private final StateClient client;
  private final int valueBytes;
  private final int txnOps;

  /**
   * @param valueBytes limit of the state service for one value
   * @param txnOps its limit for the changes of one transaction
   */
  public DocumentStore(StateClient client, int valueBytes, int txnOps) {
    this.client = client;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
  }

  private JsonNode read(String key) throws Unreachable {
    Answer answer = client.call("GET", Wire.KEYS + "/" + key, null);
    if (answer.status != 200 && answer.status != 404) {
      throw new Unreachable("reading " + key + ": " + answer.status);
    }
    return answer.status == 200 ? answer.body : null;
  }

  private static long stamp(JsonNode item) throws Malformed {
    return item == null ? 0 : Fields.count(item, "stamp");
  }

  private static JsonNode data(JsonNode item) {
    return item == null ? null : item.get("data");
  }

  /** All versions of a document, the oldest first. */
  public List<Version> history(String name) throws Unreachable, Malformed {
    return Documents.versions(data(read(Documents.manifestKey(name))));
  }

  /** The text of a version. */
  public String text(String name, Version version) throws Unreachable, Malformed {
    Map<String, JsonNode> pages = new LinkedHashMap<>();
    for (int page = 0; page < version.pages(); page++) {
      String key = Documents.pageKey(name, version.number(), page);
      pages.put(key, data(read(key)));
    }
    String text = Documents.text(name, version, pages::get);
    if (text == null) {
      throw new Malformed("version " + version.number() + " of " + name + " lacks a page");
    }
    return text;
  }

  /** Puts a record of its own, which must not be there yet. */
  public void create(String name, String key, JsonNode data)
      throws Unreachable, Malformed, Conflict {
    commit(name, Map.of(key, 0L), Map.of(key, data));
  }

  /** Puts a text as the newest version; returns its number. */
  public long put(String name, String text, String author, long nowMs)
      throws Unreachable, Malformed, Conflict {
    JsonNode currentManifest = read(Documents.manifestKey(name));
    List<Version> versions = new ArrayList<>(Documents.versions(data(currentManifest)));
    // Above all that is left of anybody's try, so that no page of it is taken for one of ours.
    long number = 1 + highestNumber(name, versions);
    List<String> pages = Documents.pages(text, valueBytes);
    for (int page = 0; page < pages.size(); page++) {
      String key = Documents.pageKey(name, number, page);
      commit(name, Map.of(key, 0L), Map.of(key, Documents.page(pages.get(page))));
    }
    versions.add(new Version(number, pages.size(), author, nowMs));
    Version added = versions.get(versions.size() - 1);
    String key = Documents.manifestKey(name);
    commit(
        name,
        Map.of(key, stamp(currentManifest)),
        Map.of(key, Documents.manifest(versions)),
        // Somebody may have put a newer one on top of ours before we knew that ours is there.
        () -> history(name).contains(added));
    removeUnreferencedPages(name);
    return number;
  }

  private long highestNumber(String name, List<Version> versions) throws Unreachable, Malformed {
    long highest = versions.stream().mapToLong(Version::number).max().orElse(0);
    for (String key : pageKeys(name)) {
      highest = Math.max(highest, versionNumber(key));
    }
    return highest;
  }

  private static long versionNumber(String key) {
    String[] parts = key.split("/");
    return Long.parseLong(parts[parts.length - 2]);
  }

  private Set<String> pageKeys(String name) throws Unreachable, Malformed {
    Set<String> keys = new HashSet<>();
    String under = Wire.key(Replica.DOCUMENT_PAGES, name + "/");
    String path = Wire.KEYS + "?under=" + under + "&most=" + Constants.KEY_PAGE;
    String since = "";
    boolean more = true;
    while (more) {
      Answer answer = client.call("GET", path + since, null);
      if (answer.status != 200) {
        throw new Unreachable("listing pages of " + name + ": " + answer.status);
      }
      String last = null;
      for (JsonNode item : Fields.list(answer.body, "items")) {
        last = Fields.text(item, "key");
        keys.add(last);
      }
      more = last != null && Fields.flag(answer.body, "hasNext");
      since = "&since=" + last;
    }
    return keys;
  }

  /**
   * Removes pages that no version names and that no newer version can be made of. One that is being
   * put has a higher number than all named, and is left alone.
   */
  private void removeUnreferencedPages(String name) throws Unreachable, Malformed, Conflict {
    List<Version> versions = history(name);
    long newest = versions.get(versions.size() - 1).number();
    Set<Long> referenced = new HashSet<>();
    versions.forEach(version -> referenced.add(version.number()));
    List<String> unreferenced =
        pageKeys(name).stream()
            .filter(key -> versionNumber(key) < newest && !referenced.contains(versionNumber(key)))
            .sorted()
            .toList();
    for (int offset = 0; offset < unreferenced.size(); offset += txnOps) {
      Map<String, JsonNode> removals = new LinkedHashMap<>();
      unreferenced
          .subList(offset, Math.min(unreferenced.size(), offset + txnOps))
          .forEach(key -> removals.put(key, null));
      commit(name, Map.of(), removals);
    }
  }

  /** Looks up whether a transaction was applied whose answer was lost. */
  private interface AppliedCheck {
    boolean isApplied() throws Unreachable, Malformed;
  }

  private void commit(String name, Map<String, Long> guards, Map<String, JsonNode> puts)
      throws Unreachable, Malformed, Conflict {
    commit(name, guards, puts, () -> isApplied(puts));
  }

  /** One transaction; null data removes. An unanswered one is looked up and tried again. */
  private void commit(
      String name, Map<String, Long> guards, Map<String, JsonNode> puts, AppliedCheck appliedCheck)
      throws Unreachable, Malformed, Conflict {
    ObjectNode body = Cbor.map();
    ArrayNode checks = body.putArray("guards");
    guards.forEach((key, stamp) -> checks.addObject().put("key", key).put("stamp", stamp));
    ArrayNode apply = body.putArray("apply");
    puts.forEach(
        (key, data) -> {
          if (data == null) {
            apply.addObject().put("remove", key);
          } else {
            apply.addObject().put("put", key).set("data", data);
          }
        });
    boolean outcomeUnknown = false;
    for (int tries = 0; tries < Constants.DOCUMENT_TRIES; tries++) {
      Answer answer = client.call("POST", Wire.MULTI, body);
      if (answer.status == 200) {
        return;
      }
      if (answer.status == 409) {
        if (outcomeUnknown && appliedCheck.isApplied()) {
          return;
        }
        throw new Conflict(name);
      }
      outcomeUnknown |= answer.status == 0;
    }
    throw new Unreachable("the state service refuses changes");
  }

  private boolean isApplied(Map<String, JsonNode> puts) throws Unreachable {
    for (Map.Entry<String, JsonNode> put : puts.entrySet()) {
      JsonNode stored = data(read(put.getKey()));
      if (put.getValue() == null ? stored != null : !put.getValue().equals(stored)) {
        return false;
      }
    }
    return true;
  }
}
