package io.yuccaswitch.node.entry;

import java.util.List;

/**
 * The document that lists the entry addresses.
 *
 * @param validForMillis The milliseconds for which the caller may cache the document.
 * @param addresses The addresses, those of the caller's availability zone first.
 */
record EntryAddresses(long validForMillis, List<Address> addresses) {

    /** Copies the addresses. */
    EntryAddresses {
        addresses = List.copyOf(addresses);
    }

    /**
     * An entry address.
     *
     * @param address The address as {@code host:port}.
     * @param node The node's name.
     * @param availabilityZone The node's availability zone.
     * @param requestIdPrefix The prefix of the ids of requests whose home is the node.
     */
    record Address(String address, String node, String availabilityZone, String requestIdPrefix) {}
}
