package dunlincroft.bookkeeping;

/**
 * Token bucket for this controller's share of a published rate. Its capacity is one second's worth
 * of tokens or the given burst, whichever is larger.
 */
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

  /** Sets the rate, in tokens per second. */
  public void rate(double newPerSecond, long nowMs) {
    refill(nowMs);
    perSecond = newPerSecond;
  }

  /** The rate, in tokens per second. */
  public double rate() {
    return perSecond;
  }

  /** Seconds until {@code n} tokens are available at the current rate. */
  public double secondsUntil(double n, long nowMs) {
    refill(nowMs);
    return tokens >= n ? 0 : (n - tokens) / perSecond;
  }

  /** Tokens available above a fraction of the capacity that is reserved for more urgent calls. */
  public double availableAbove(double reservedFraction, long nowMs) {
    refill(nowMs);
    // With a capacity of one token there would never be a token above the reserved fraction.
    return tokens >= capacity()
        ? Math.max(1, tokens - capacity() * reservedFraction)
        : tokens - capacity() * reservedFraction;
  }

  /** Discards all tokens, after the service has answered that the rate is exceeded. */
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

  /** Whether {@code n} tokens are available; more than the capacity only needs a full bucket. */
  public boolean has(double n, long nowMs) {
    refill(nowMs);
    return tokens >= Math.min(n, capacity());
  }

  /** Consumes {@code n} tokens. The balance becomes negative if n exceeds the available tokens. */
  public void consume(double n, long nowMs) {
    refill(nowMs);
    tokens -= n;
  }
}
