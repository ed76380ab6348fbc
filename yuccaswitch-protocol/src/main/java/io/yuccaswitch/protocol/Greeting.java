package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The first message in each direction of a connection. The accepting node answers only after it has checked the
 * greeting of the connecting one, such that a stranger learns nothing.
 *
 * @param identity The node that speaks.
 * @param site The name of the site that the node belongs to.
 * @param token The token that all nodes of the site share.
 */
record Greeting(NodeIdentity identity, String site, String token) {

    /** The number of the greeting on the wire. */
    static final int NUMBER = 0;

    /** The largest size of a greeting's frame, which bounds what a stranger can make a node keep. */
    static final int MAXIMUM_SIZE = 4096;

    /**
     * Returns whether this greeting comes from a node of the same site that knows the shared token.
     *
     * @param expectedSite The name of the site.
     * @param expectedToken The shared token.
     * @return {@code true} if the peer may be talked to.
     */
    boolean isWelcome(String expectedSite, String expectedToken) {
        return identity != null
                && expectedSite.equals(site)
                && token != null
                && MessageDigest.isEqual(
                        expectedToken.getBytes(StandardCharsets.UTF_8), token.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a text without the token, for logs.
     *
     * @return A text without the token.
     */
    @Override
    public String toString() {
        return "Greeting[" + identity + ", " + site + "]";
    }
}
