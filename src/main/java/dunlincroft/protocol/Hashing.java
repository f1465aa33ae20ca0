package dunlincroft.protocol;

import it.unimi.dsi.fastutil.HashCommon;

/**
 * The hash function for names: of machines and images on the consistent hashing ring, and of jobs
 * and shards in rendezvous hashing over controllers.
 */
public final class Hashing {
  private Hashing() {}

  /** A hash spread over all 64 bits that is the same in every process. */
  public static long of(String text) {
    return HashCommon.murmurHash3((long) text.hashCode() * 31 + text.length());
  }
}
