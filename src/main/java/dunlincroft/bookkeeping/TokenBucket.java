package dunlincroft.bookkeeping;

/** Our part of a published rate; a second's worth, or a least burst, may be saved up. */
public final class TokenBucket {
  private final double burst;
  private double perSecond;
  private double tokens;
  private long lastRefillMs;

  public TokenBucket(double perSecond, double burst, long nowMs) {
    this.burst = Math.max(1, burst);
    this.perSecond = perSecond;
    this.tokens = perSecond / 2;
    this.lastRefillMs = nowMs;
  }

  public void rate(double newPerSecond, long nowMs) {
    refill(nowMs);
    perSecond = newPerSecond;
  }

  /** Tokens a second. */
  public double rate() {
    return perSecond;
  }

  /** Seconds until so many tokens are there. */
  public double secondsUntil(double n, long nowMs) {
    refill(nowMs);
    return tokens >= n ? 0 : (n - tokens) / perSecond;
  }

  /** Tokens that are there beyond a part kept for what is more urgent. */
  public double availableAbove(double reservedFraction, long nowMs) {
    refill(nowMs);
    // A bucket of one token would never have one to spare.
    return tokens >= capacity()
        ? Math.max(1, tokens - capacity() * reservedFraction)
        : tokens - capacity() * reservedFraction;
  }

  /** The service says that there are none: for a while there are not. */
  public void discardTokens(long nowMs) {
    refill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private double capacity() {
    return Math.max(burst, perSecond);
  }

  private void refill(long nowMs) {
    tokens = Math.min(capacity(), tokens + (nowMs - lastRefillMs) * perSecond / 1000);
    lastRefillMs = nowMs;
  }

  /** True when {@code n} tokens are there; a wish above the bucket's size waits for a full one. */
  public boolean has(double n, long nowMs) {
    refill(nowMs);
    return tokens >= Math.min(n, capacity());
  }

  /** May go below zero, when a wish is larger than the bucket. */
  public void consume(double n, long nowMs) {
    refill(nowMs);
    tokens -= n;
  }
}
