package madderrudder.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses addresses of the form {@code 10.0.0.1:8080}. Host names are not supported, so that the
 * event loop thread never blocks on a DNS lookup.
 */
public final class Addresses {
  private static final Pattern IPV4_AND_PORT =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

  private Addresses() {}

  /** Returns whether the text is an IPv4 address with a port. */
  public static boolean isValid(String address) {
    try {
      parse(address);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /**
   * Parses an IPv4 address with a port.
   *
   * @throws IllegalArgumentException if the text has another form, or a part is out of range
   */
  public static InetSocketAddress parse(String address) {
    Matcher matcher = IPV4_AND_PORT.matcher(address);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("invalid address, expected IPv4:PORT: " + address);
    }
    byte[] octets = new byte[4];
    for (int i = 0; i < 4; i++) {
      int octet = Integer.parseInt(matcher.group(i + 1));
      if (octet > 255) {
        throw new IllegalArgumentException("invalid address, expected IPv4:PORT: " + address);
      }
      octets[i] = (byte) octet;
    }
    int port = Integer.parseInt(matcher.group(5));
    if (port > 65535) {
      throw new IllegalArgumentException("invalid address, expected IPv4:PORT: " + address);
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(octets), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
