package dunlincroft.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.documents.Documents.Version;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes versions of documents to the state service, one change at a time: first the pages, then
 * the manifest under a guard, then it removes the pages that no version refers to any more. If
 * interrupted before the manifest is written, the existing versions stay as they were; the next put
 * removes leftover pages.
 */
public final class DocumentStore {
  /** Blocking client of the state service. */
  public interface StateClient {
    Answer call(String method, String path, ObjectNode body) throws Unreachable;
  }

  /** An answer: its status, 0 if there was none, and its body, if it has one. */
  public record Answer(int status, JsonNode body) {}

  /** The state service did not answer, or refused all attempts. */
  public static final class Unreachable extends Exception {
    private static final long serialVersionUID = 1;

    public Unreachable(String reason) {
      super(reason);
    }
  }

  /** A guard failed because of a concurrent change; this change was not applied. */
  public static final class Conflict extends Exception {
    private static final long serialVersionUID = 1;

    Conflict(String name) {
      super("conflicting change of " + name + ": check the current version and try again");
    }
  }

  private final StateClient client;
  private final int valueBytes;
  private final int txnOps;

  /**
   * @param valueBytes the state service's size limit for one value
   * @param txnOps the state service's limit for the number of changes in one transaction
   */
  public DocumentStore(StateClient client, int valueBytes, int txnOps) {
    this.client = client;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
  }

  private JsonNode read(String key) throws Unreachable {
    Answer answer = client.call("GET", Wire.KEYS + "/" + key, null);
    if (answer.status != 200 && answer.status != 404) {
      throw new Unreachable("reading " + key + " failed with status " + answer.status);
    }
    return answer.status == 200 ? answer.body : null;
  }

  private static long stamp(JsonNode item) throws MalformedException {
    return item == null ? 0 : Fields.count(item, "stamp");
  }

  private static JsonNode data(JsonNode item) {
    return item == null ? null : item.get("data");
  }

  /** All versions of a document, the oldest first. */
  public List<Version> history(String name) throws Unreachable, MalformedException {
    return Documents.versions(data(read(Documents.manifestKey(name))));
  }

  /** Reads the text of a version. */
  public String text(String name, Version version) throws Unreachable, MalformedException {
    Map<String, JsonNode> pages = new LinkedHashMap<>();
    for (int page = 0; page < version.pages(); page++) {
      String key = Documents.pageKey(name, version.number(), page);
      pages.put(key, data(read(key)));
    }
    String text = Documents.text(name, version, pages::get);
    if (text == null) {
      throw new MalformedException(
          "version " + version.number() + " of " + name + " has a missing page");
    }
    return text;
  }

  /** Creates a record under a key that must not exist yet. */
  public void create(String name, String key, JsonNode data)
      throws Unreachable, MalformedException, Conflict {
    commit(name, Map.of(key, 0L), Map.of(key, data));
  }

  /** Writes a text as the newest version of a document; returns the version's number. */
  public long put(String name, String text, String author, long nowMs)
      throws Unreachable, MalformedException, Conflict {
    JsonNode currentManifest = read(Documents.manifestKey(name));
    List<Version> versions = new ArrayList<>(Documents.versions(data(currentManifest)));
    // Higher than the number of any leftover page of an interrupted put, so that none of those
    // pages can become part of this version.
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
        // After a lost answer the manifest may already name a newer version written by another put.
        () -> history(name).contains(added));
    removeUnreferencedPages(name);
    return number;
  }

  /** The highest version number used by a version or by a leftover page. */
  private long highestNumber(String name, List<Version> versions)
      throws Unreachable, MalformedException {
    long highest = versions.stream().mapToLong(Version::number).max().orElse(0);
    for (String key : pageKeys(name)) {
      highest = Math.max(highest, versionNumber(key));
    }
    return highest;
  }

  /** The version number in a page key. */
  private static long versionNumber(String key) {
    String[] parts = key.split("/");
    return Long.parseLong(parts[parts.length - 2]);
  }

  private Set<String> pageKeys(String name) throws Unreachable, MalformedException {
    Set<String> keys = new HashSet<>();
    String under = Wire.key(Replica.DOCUMENT_PAGES, name + "/");
    String path = Wire.KEYS + "?under=" + under + "&most=" + Constants.KEY_PAGE_ENTRIES;
    String since = "";
    boolean more = true;
    while (more) {
      Answer answer = client.call("GET", path + since, null);
      if (answer.status != 200) {
        throw new Unreachable("listing pages of " + name + " failed with status " + answer.status);
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
   * Removes pages below the newest version that no version refers to. The pages of a put in
   * progress have a higher number than all versions in the manifest and are kept.
   */
  private void removeUnreferencedPages(String name)
      throws Unreachable, MalformedException, Conflict {
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

  /** Reads back whether a transaction was applied after its answer was lost. */
  private interface AppliedCheck {
    boolean isApplied() throws Unreachable, MalformedException;
  }

  private void commit(String name, Map<String, Long> guards, Map<String, JsonNode> puts)
      throws Unreachable, MalformedException, Conflict {
    commit(name, guards, puts, () -> isApplied(puts));
  }

  /**
   * Commits one transaction, in which null data removes a key. An attempt without an answer is
   * repeated; if the repetition then conflicts, {@code appliedCheck} tells whether the earlier
   * attempt was applied.
   */
  private void commit(
      String name, Map<String, Long> guards, Map<String, JsonNode> puts, AppliedCheck appliedCheck)
      throws Unreachable, MalformedException, Conflict {
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
    for (int tries = 0; tries < Constants.DOCUMENT_ATTEMPTS; tries++) {
      Answer answer = client.call("POST", Wire.TRANSACTION, body);
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
    throw new Unreachable("the state service did not accept the change after repeated attempts");
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
