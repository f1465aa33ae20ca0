package dunlincroft.protocol;

import it.unimi.dsi.fastutil.HashCommon;

/** The one hash of names: of machines and images on the ring, of jobs and shards over nodes. */
public final class Hashing {
  private Hashing() {}

  /** Spread over all 64 bits, and the same in every process. */
  public static long of(String text) {
    return HashCommon.murmurHash3((long) text.hashCode() * 31 + text.length());
  }
}
