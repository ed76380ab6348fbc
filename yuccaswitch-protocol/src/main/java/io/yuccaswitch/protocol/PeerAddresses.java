package io.yuccaswitch.protocol;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Reads addresses as members and settings state them. */
public final class PeerAddresses {

    /** This class has no instances. */
    private PeerAddresses() {}

    /**
     * Parses an address. Names are not looked up, since that could block.
     *
     * @param text The address as {@code host:port}, where the host is an IP number, in brackets if it has colons.
     * @return The address, or empty if the text is none.
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
