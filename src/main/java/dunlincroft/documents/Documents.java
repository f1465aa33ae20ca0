package dunlincroft.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Operators' documents as the state service keeps them: each version in pages, which are written
 * once, and a manifest that names the versions, the newest last. A version exists from the moment
 * at which the manifest names it; pages that none names are left over and swept.
 */
public final class Documents {
  /** A version: its number, its pages, who put it and when (milliseconds of the time of day). */
  public record Version(long number, int pages, String author, long createdAtMs) {}

  /** A version with its text. */
  public record Text(long version, String text) {}

  private Documents() {}

  /** Key of a document's manifest. */
  public static String manifestKey(String name) {
    return Wire.key(Replica.DOCUMENTS, name);
  }

  /** Key of a page. */
  public static String pageKey(String name, long version, int page) {
    return Wire.key(Replica.DOCUMENT_PAGES, pageName(name, version, page));
  }

  private static String pageName(String name, long version, int page) {
    return name + "/" + version + "/" + page;
  }

  /** The versions that a manifest names, the oldest first; none without one. */
  public static List<Version> versions(JsonNode manifest) throws Malformed {
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

  /** A manifest of these versions, of which the newest ten are kept. */
  public static ObjectNode manifest(List<Version> versions) {
    ObjectNode manifest = Cbor.map();
    manifest.putArray("versions");
    versions.stream()
        .skip(Math.max(0, versions.size() - Constants.VERSIONS_KEPT))
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

  /** A text in pieces that each fit into a value of so many bytes, whatever its characters. */
  public static List<String> pages(String text, int valueBytes) {
    int pageChars = Math.max(1, (valueBytes - Constants.PAGE_FRAME_BYTES) / Constants.CHAR_BYTES);
    List<String> pages = new ArrayList<>();
    for (int offset = 0; offset < text.length(); offset += pageChars) {
      pages.add(text.substring(offset, Math.min(text.length(), offset + pageChars)));
    }
    return pages;
  }

  /** The data of a page. */
  public static ObjectNode page(String text) {
    return Cbor.map().put("text", text);
  }

  /**
   * A version's text, put together from its pages; null when one is missing, as it is while news of
   * it are on their way.
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

  /** The newest version that a replica holds whole; null: there is none. */
  public static Text newest(Replica replica, String name) throws Malformed {
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
