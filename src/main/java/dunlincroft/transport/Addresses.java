package dunlincroft.transport;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses network addresses. Only numeric ones: the program's environment has no name service. */
public final class Addresses {
  static final String CBOR = "application/cbor";

  private Addresses() {}

  /**
   * Parses an address of the form {@code 10.0.0.1:8080}; throws {@link IllegalArgumentException}
   * for anything else.
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null) {
      throw new IllegalArgumentException("not an address of the form 10.0.0.1:8080: " + text);
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (UnknownHostException | NumberFormatException e) {
      throw new IllegalArgumentException("not an address of the form 10.0.0.1:8080: " + text, e);
    }
  }
}
