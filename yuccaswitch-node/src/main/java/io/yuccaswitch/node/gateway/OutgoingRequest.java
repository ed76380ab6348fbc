package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request in the form that endpoints receive, without the headers that address one of them.
 *
 * @param id The identifier, which answers echo, or an empty text if it has none.
 * @param method The method.
 * @param target The path with the query.
 * @param headers The headers, in order.
 * @param account The account that is sent to endpoints, if any.
 * @param body The body.
 * @param priority The priority that is sent to endpoints, where 0 is the most urgent, if any.
 */
record OutgoingRequest(
        String id,
        String method,
        String target,
        List<Map.Entry<String, String>> headers,
        Optional<AccountName> account,
        Bytes body,
        OptionalInt priority) {

    /** Copies the headers. */
    OutgoingRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Creates a request without a priority.
     *
     * @param id The identifier, which answers echo, or an empty text if it has none.
     * @param method The method.
     * @param target The path with the query.
     * @param headers The headers, in order.
     * @param account The account that is sent to endpoints, if any.
     * @param body The body.
     */
    OutgoingRequest(
            String id,
            String method,
            String target,
            List<Map.Entry<String, String>> headers,
            Optional<AccountName> account,
            Bytes body) {
        this(id, method, target, headers, account, body, OptionalInt.empty());
    }

    /**
     * Returns a header.
     *
     * @param name The name, in any case.
     * @return The first value, or an empty text if there is none.
     */
    String header(String name) {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse("");
    }
}
