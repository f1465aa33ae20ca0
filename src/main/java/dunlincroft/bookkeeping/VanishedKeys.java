package dunlincroft.bookkeeping;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Finds the keys of the replica that a complete listing of the state service does not contain, by
 * walking both in the order of keys. Its memory is bounded by the replica: the listing may be of
 * any length, as final states are kept for good.
 */
final class VanishedKeys {
  private final Iterator<String> known;
  private final List<String> vanished = new ArrayList<>();

  /** The first known key that the listing has not passed; null: none is left. */
  private String next;

  /** Begins a listing at which the replica holds the given keys, in order. */
  VanishedKeys(List<String> knownInOrder) {
    known = knownInOrder.iterator();
    advance();
  }

  private void advance() {
    next = known.hasNext() ? known.next() : null;
  }

  /** The listing contains a key; keys come in order. */
  void onListed(String key) {
    while (next != null && next.compareTo(key) < 0) {
      vanished.add(next);
      advance();
    }
    if (key.equals(next)) {
      advance();
    }
  }

  /** The listing is complete. Returns the known keys that it did not contain. */
  List<String> onEnd() {
    while (next != null) {
      vanished.add(next);
      advance();
    }
    return vanished;
  }
}
