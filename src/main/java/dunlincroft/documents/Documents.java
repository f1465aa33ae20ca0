package dunlincroft.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Storage format of operators' documents in the state service: each version consists of pages,
 * which are written once, and a manifest lists the versions, the newest last. A version exists once
 * the manifest lists it; pages that belong to no listed version are leftovers and are removed.
 */
public final class Documents {
  /**
   * A version of a document.
   *
   * @param pages number of its pages
   * @param author name of the operator who wrote it
   * @param createdAtMs wall clock time in milliseconds at which it was written
   */
  public record Version(long number, int pages, String author, long createdAtMs) {}

  /** The text of a document and the number of its version. */
  public record Text(long version, String text) {}

  private Documents() {}

  /** State service key of a document's manifest. */
  public static String manifestKey(String name) {
    return Wire.key(Replica.DOCUMENTS, name);
  }

  /** State service key of a page. */
  public static String pageKey(String name, long version, int page) {
    return Wire.key(Replica.DOCUMENT_PAGES, pageName(name, version, page));
  }

  private static String pageName(String name, long version, int page) {
    return name + "/" + version + "/" + page;
  }

  /** The versions that a manifest lists, the oldest first; none if the manifest is null. */
  public static List<Version> versions(JsonNode manifest) throws MalformedException {
    List<Version> versions = new ArrayList<>();
    if (manifest != null) {
      for (JsonNode entry : Fields.list(manifest, "versions")) {
        versions.add(
            new Version(
                Fields.count(entry, "number"),
                (int) Fields.count(entry, "pages"),
                Fields.text(entry, "by"),
                Fields.count(entry, "at")));
      }
    }
    return versions;
  }

  /** A manifest of the newest ten of these versions. */
  public static ObjectNode manifest(List<Version> versions) {
    ObjectNode manifest = Cbor.map();
    manifest.putArray("versions");
    versions.stream()
        .skip(Math.max(0, versions.size() - Constants.MAX_DOCUMENT_VERSIONS))
        .forEach(
            kept ->
                manifest
                    .withArray("versions")
                    .addObject()
                    .put("number", kept.number)
                    .put("pages", kept.pages)
                    .put("by", kept.author)
                    .put("at", kept.createdAtMs));
    return manifest;
  }

  /** Splits a text into pages that fit into a value of this many bytes, whatever the characters. */
  public static List<String> pages(String text, int valueBytes) {
    int pageChars =
        Math.max(
            1,
            (valueBytes - Constants.DOCUMENT_PAGE_OVERHEAD_BYTES) / Constants.MAX_JSON_CHAR_BYTES);
    List<String> pages = new ArrayList<>();
    for (int offset = 0; offset < text.length(); offset += pageChars) {
      pages.add(text.substring(offset, Math.min(text.length(), offset + pageChars)));
    }
    return pages;
  }

  /** The record of a page. */
  public static ObjectNode page(String text) {
    return Cbor.map().put("text", text);
  }

  /**
   * Assembles a version's text from its pages; null if a page is missing, which happens in a
   * replica that has not received it yet.
   */
  public static String text(String name, Version version, Function<String, JsonNode> read) {
    StringBuilder text = new StringBuilder();
    for (int page = 0; page < version.pages; page++) {
      JsonNode data = read.apply(pageKey(name, version.number, page));
      if (data == null) {
        return null;
      }
      text.append(data.path("text").asText());
    }
    return text.toString();
  }

  /** The newest version in a replica; null if there is none or one of its pages is missing. */
  public static Text newest(Replica replica, String name) throws MalformedException {
    Replica.Item item = replica.get(Replica.DOCUMENTS, name);
    List<Version> versions = versions(item == null ? null : item.data());
    if (versions.isEmpty()) {
      return null;
    }
    Version last = versions.get(versions.size() - 1);
    String text =
        text(
            name,
            last,
            key -> {
              String page = key.substring(Wire.key(Replica.DOCUMENT_PAGES, "").length());
              Replica.Item pageItem = replica.get(Replica.DOCUMENT_PAGES, page);
              return pageItem == null ? null : pageItem.data();
            });
    return text == null ? null : new Text(last.number, text);
  }
}
