package io.yuccaswitch.node;

/**
 * An address that a server listens on.
 *
 * @param host The host, as an IP address or a name.
 * @param port The port.
 */
public record HostAndPort(String host, int port) {

    /**
     * Parses an address.
     *
     * @param address The address as {@code host:port}.
     * @return The parsed address.
     * @throws IllegalArgumentException If the text is not an address.
     */
    public static HostAndPort parse(String address) {
        com.google.common.net.HostAndPort parsed = com.google.common.net.HostAndPort.fromString(address);
        return new HostAndPort(parsed.getHost(), parsed.getPort());
    }
}
