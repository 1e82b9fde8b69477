package verbenahatch.routing;

/**
 * Assigns an IPv4 prefix of callers to a site.
 *
 * @param address the first address as an unsigned 32-bit number; bits outside the prefix are zero
 * @param bits the length of the prefix, 0 to 32
 * @param site the number of the site, 1 to 255; 0 removes the prefix from the table
 */
public record Block(int address, int bits, int site) {

  /** A site is stored in one byte; the system is planned for 180 sites. */
  static final int MAX_SITE = 255;

  /**
   * Checks the ranges of the components.
   *
   * @throws IllegalArgumentException if a component is out of range or the address has bits outside
   *     the prefix
   */
  public Block {
    if (bits < 0 || bits > Integer.SIZE) {
      throw new IllegalArgumentException("prefix length " + bits + " is not 0 to 32");
    }
    if (site < 0 || site > MAX_SITE) {
      throw new IllegalArgumentException("site " + site + " is not 0 to " + MAX_SITE);
    }
    if ((address & hostMask(bits)) != 0) {
      throw new IllegalArgumentException("address has bits outside the /" + bits + " prefix");
    }
  }

  /**
   * Parses a prefix in CIDR notation.
   *
   * @param text a prefix such as {@code 10.1.0.0/16}; bits outside the prefix are ignored
   * @param site the number of the site, 0 to 255
   * @return the block
   * @throws IllegalArgumentException if the text is not an IPv4 prefix
   */
  public static Block parse(String text, int site) {
    int slash = text.indexOf('/');
    if (slash < 0) {
      throw new IllegalArgumentException("not an IPv4 prefix: " + text);
    }
    int bits = Integer.parseInt(text.substring(slash + 1));
    if (bits < 0 || bits > Integer.SIZE) {
      throw new IllegalArgumentException("not an IPv4 prefix: " + text);
    }
    return new Block(parseAddress(text.substring(0, slash)) & ~hostMask(bits), bits, site);
  }

  /**
   * Parses an IPv4 address.
   *
   * @param text four decimal numbers separated by dots
   * @return the address as an unsigned 32-bit number
   * @throws IllegalArgumentException if the text is not an IPv4 address
   */
  public static int parseAddress(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != Integer.BYTES) {
      throw new IllegalArgumentException("not an IPv4 address: " + text);
    }
    int address = 0;
    for (String part : parts) {
      int octet = Integer.parseInt(part);
      if (octet < 0 || octet > 255) {
        throw new IllegalArgumentException("not an IPv4 address: " + text);
      }
      address = address << Byte.SIZE | octet;
    }
    return address;
  }

  /**
   * Returns the last address of the block.
   *
   * @return the address as an unsigned 32-bit number
   */
  int lastAddress() {
    return address | hostMask(bits);
  }

  private static int hostMask(int bits) {
    return bits == 0 ? -1 : (int) ((1L << (Integer.SIZE - bits)) - 1);
  }
}
