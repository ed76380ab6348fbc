package io.yuccaswitch.testkit.load;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * An entry address, as listed by the system.
 *
 * @param address The address as host:port.
 * @param node The name of the node.
 * @param availabilityZone The availability zone of the node.
 * @param requestIdPrefix The prefix of the identifiers of requests that are sent there.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EntryAddress(String address, String node, String availabilityZone, String requestIdPrefix) {

    /**
     * An answer that lists entry addresses.
     *
     * @param validForMillis The time for which the answer may be used, in milliseconds.
     * @param addresses The entry addresses, in order of preference.
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Listing(long validForMillis, List<EntryAddress> addresses) {

        /** Copies the addresses. */
        public Listing {
            addresses = List.copyOf(addresses);
        }
    }
}
