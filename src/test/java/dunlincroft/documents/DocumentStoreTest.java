package dunlincroft.documents;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.documents.DocumentStore.Answer;
import dunlincroft.documents.DocumentStore.Unreachable;
import dunlincroft.documents.Documents.Version;
import dunlincroft.protocol.Cbor;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Versions of documents, with a put interrupted, or an answer lost, at every request. */
class DocumentStoreTest {
  private static final int VALUE_BYTES = 1024;
  private static final int OPS = 3;

  /** In-memory state service with a fault at a chosen request. */
  private static final class FakeStateService implements DocumentStore.StateClient {
    private record Item(JsonNode data, long stamp) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private long epoch;
    private int requests;
    private int failsAt = Integer.MAX_VALUE;

    /** Number of the request whose change is applied but whose answer is lost. */
    private int losesAnswerAt = Integer.MAX_VALUE;

    private Runnable beforeNext = () -> {};

    /** Concurrent action of another client, run when an answer is lost. */
    private Runnable afterLoss = () -> {};

    @Override
    public Answer call(String method, String path, ObjectNode body) throws Unreachable {
      requests++;
      if (requests == failsAt) {
        throw new Unreachable("interrupted by the test");
      }
      Runnable first = beforeNext;
      beforeNext = () -> {};
      first.run();
      if (path.startsWith("/keys?")) {
        ObjectNode answer = Cbor.map().put("hasNext", false);
        ArrayNode list = answer.putArray("items");
        String under = path.substring(path.indexOf("under=") + 6, path.indexOf('&'));
        items
            .subMap(under, under + "~")
            .forEach((key, item) -> list.addObject().put("key", key).put("stamp", item.stamp));
        return new Answer(200, answer);
      }
      if (method.equals("GET")) {
        Item item = items.get(path.substring("/keys/".length()));
        if (item == null) {
          return new Answer(404, Cbor.map());
        }
        ObjectNode answer = Cbor.map().put("stamp", item.stamp);
        answer.set("data", item.data);
        return new Answer(200, answer);
      }
      assertThat(body.path("apply").size()).isLessThanOrEqualTo(OPS);
      for (JsonNode guard : body.path("guards")) {
        Item item = items.get(guard.path("key").asText());
        if ((item == null ? 0 : item.stamp) != guard.path("stamp").asLong()) {
          return new Answer(409, Cbor.map());
        }
      }
      epoch++;
      for (JsonNode op : body.path("apply")) {
        if (op.has("put")) {
          assertThat(op.get("data").toString().length()).isLessThanOrEqualTo(VALUE_BYTES);
          items.put(op.path("put").asText(), new Item(op.get("data"), epoch));
        } else {
          items.remove(op.path("remove").asText());
        }
      }
      if (requests == losesAnswerAt) {
        afterLoss.run();
        return new Answer(0, null);
      }
      return new Answer(200, Cbor.map());
    }
  }

  private static String text(int seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 700; i++) {
      text.append("a\"\n\u00e9\u0001z".charAt(random.nextInt(6)));
    }
    return text.append(seed).toString();
  }

  private static DocumentStore store(FakeStateService fake) {
    return new DocumentStore(fake, VALUE_BYTES, OPS);
  }

  private static String newest(FakeStateService fake) throws Exception {
    List<Version> versions = store(fake).history("calendar");
    return store(fake).text("calendar", versions.get(versions.size() - 1));
  }

  /**
   * After a put that was interrupted at any request, readers see the old or the new version, and
   * the next put succeeds.
   */
  @Test
  void putMayBeInterruptedAtAnyRequest() throws Exception {
    boolean interrupted = true;
    for (int at = 1; interrupted; at++) {
      FakeStateService fake = new FakeStateService();
      store(fake).put("calendar", text(1), "a", 1);
      fake.failsAt = fake.requests + at;
      interrupted = false;
      try {
        store(fake).put("calendar", text(2), "b", 2);
      } catch (Unreachable e) {
        interrupted = true;
      }
      fake.failsAt = Integer.MAX_VALUE;
      assertThat(newest(fake)).isIn(text(1), text(2));
      store(fake).put("calendar", text(3), "c", 3);
      assertThat(newest(fake)).isEqualTo(text(3));
      long pages = store(fake).history("calendar").stream().mapToInt(Version::pages).sum();
      assertThat(fake.items).as("no leftover pages").hasSize((int) pages + 1);
    }
  }

  @Test
  void lostAnswerIsLookedUp() throws Exception {
    for (int at = 1; at < 14; at++) {
      FakeStateService fake = new FakeStateService();
      store(fake).put("calendar", text(1), "a", 1);
      fake.losesAnswerAt = fake.requests + at;
      store(fake).put("calendar", text(2), "b", 2);
      assertThat(newest(fake)).isEqualTo(text(2));
    }
  }

  @Test
  void oneOfTwoConcurrentPutsReportsAConflict() throws Exception {
    FakeStateService fake = new FakeStateService();
    store(fake).put("calendar", text(1), "a", 1);
    fake.beforeNext =
        () -> {
          // Runs after this put has read the manifest.
          fake.beforeNext =
              () -> {
                try {
                  store(fake).put("calendar", text(2), "b", 2);
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              };
        };
    assertThatThrownBy(() -> store(fake).put("calendar", text(3), "c", 3))
        .isInstanceOf(DocumentStore.Conflict.class);
    assertThat(newest(fake)).isEqualTo(text(2));
  }

  /** The answer to a put is lost, and another client puts a newer version before it is retried. */
  @Test
  void lostAnswerIsRecognisedBelowANewerVersion() throws Exception {
    int exercised = 0;
    for (int at = 1; at < 14; at++) {
      FakeStateService fake = new FakeStateService();
      store(fake).put("calendar", text(1), "a", 1);
      int losesAt = fake.requests + at;
      fake.losesAnswerAt = losesAt;
      fake.afterLoss =
          () -> {
            try {
              store(fake).put("calendar", text(3), "c", 3);
            } catch (Exception e) {
              throw new IllegalStateException(e);
            }
          };
      boolean succeeded = true;
      try {
        store(fake).put("calendar", text(2), "b", 2);
      } catch (DocumentStore.Conflict e) {
        succeeded = false;
      }
      List<String> authors = store(fake).history("calendar").stream().map(Version::author).toList();
      assertThat(succeeded).as("lost at %d: %s", at, authors).isEqualTo(authors.contains("b"));
      exercised += authors.equals(List.of("a", "b", "c")) && fake.requests > losesAt ? 1 : 0;
    }
    assertThat(exercised).as("version applied, but no longer the newest").isPositive();
  }

  @Test
  void tenVersionsAreKept() throws Exception {
    FakeStateService fake = new FakeStateService();
    for (int i = 1; i <= 13; i++) {
      store(fake).put("calendar", text(i), "a", i);
    }
    List<Version> versions = store(fake).history("calendar");
    assertThat(versions).hasSize(10);
    assertThat(store(fake).text("calendar", versions.get(0))).isEqualTo(text(4));
  }
}
