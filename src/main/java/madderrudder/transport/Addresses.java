package madderrudder.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Addresses of the form {@code 10.0.0.1:8080}. Host names are not allowed, so that nothing waits
 * for a name look-up.
 */
public final class Addresses {
  private static final Pattern FORM =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

  private Addresses() {}

  /** Whether the text is an address. */
  public static boolean valid(String address) {
    try {
      parse(address);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /**
   * Reads an address.
   *
   * @throws IllegalArgumentException if the text is none
   */
  public static InetSocketAddress parse(String address) {
    Matcher match = FORM.matcher(address);
    if (!match.matches()) {
      throw new IllegalArgumentException("not an address: " + address);
    }
    byte[] ip = new byte[4];
    for (int i = 0; i < 4; i++) {
      int part = Integer.parseInt(match.group(i + 1));
      if (part > 255) {
        throw new IllegalArgumentException("not an address: " + address);
      }
      ip[i] = (byte) part;
    }
    int port = Integer.parseInt(match.group(5));
    if (port > 65535) {
      throw new IllegalArgumentException("not an address: " + address);
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
