package io.yuccaswitch.protocol;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses the peer addresses in membership data and settings. */
public final class PeerAddresses {

    /** This class has no instances. */
    private PeerAddresses() {}

    /**
     * Parses an address. Host names are not resolved, since that could block.
     *
     * @param text The address as {@code host:port}, where the host is an IP address, in brackets if it contains colons.
     * @return The address, or empty if the text is invalid.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            return Optional.of(new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort()));
        } catch (IllegalArgumentException | IllegalStateException _exception) {
            return Optional.empty();
        }
    }
}
