package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The first message in each direction of a connection. The accepting node answers only after it has checked the
 * greeting of the connecting node, so that an unauthenticated peer gets no information.
 *
 * @param identity The identity of the sending node.
 * @param site The name of the site that the node belongs to.
 * @param token The token that all nodes of the site share.
 */
record Greeting(NodeIdentity identity, String site, String token) {

    /** The type number of the greeting on the wire. */
    static final int NUMBER = 0;

    /** The maximum size of a greeting's frame in bytes, which bounds the memory use of an unauthenticated peer. */
    static final int MAXIMUM_SIZE = 4096;

    /**
     * Returns whether this greeting comes from a node of the same site with the shared token.
     *
     * @param expectedSite The name of the site.
     * @param expectedToken The shared token.
     * @return {@code true} if the peer is authenticated.
     */
    boolean isAuthentic(String expectedSite, String expectedToken) {
        return identity != null
                && expectedSite.equals(site)
                && token != null
                && MessageDigest.isEqual(
                        expectedToken.getBytes(StandardCharsets.UTF_8), token.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a representation for logs, which omits the token.
     *
     * @return The representation without the token.
     */
    @Override
    public String toString() {
        return "Greeting[" + identity + ", " + site + "]";
    }
}
