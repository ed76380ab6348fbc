package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.identity.CallerName;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The slots that accounts occupy at this node, and their fair shares of them. A few large accounts send as much as all
 * others together: without a limit in flight, their requests would occupy each slot by the time that a smaller account
 * needs one.
 */
final class AccountShares {

    /** The number of requests in flight by account. */
    private final Map<CallerName, Integer> inFlight = new HashMap<>();

    /** The weights of the accounts with requests in flight. */
    private final Map<CallerName, Integer> weights = new HashMap<>();

    /**
     * Records that a request occupies a slot.
     *
     * @param request The request.
     */
    void begin(AdmissionRequest request) {
        inFlight.merge(request.account(), 1, Integer::sum);
        weights.put(request.account(), request.weight());
    }

    /**
     * Records that a request freed its slot.
     *
     * @param account The account of the request.
     */
    void end(CallerName account) {
        inFlight.computeIfPresent(account, (_account, count) -> count > 1 ? count - 1 : null);
        if (!inFlight.containsKey(account)) {
            weights.remove(account);
        }
    }

    /**
     * Returns the number of slots that an account occupies.
     *
     * @param account The account.
     * @return The number.
     */
    int inFlight(CallerName account) {
        return inFlight.getOrDefault(account, 0);
    }

    /**
     * Computes the fair shares of accounts that have requests in flight or waiting.
     *
     * @param slots The number of slots that this node can use.
     * @param waiting The waiting requests.
     * @return The number of slots by account, at least one each.
     */
    Map<CallerName, Integer> fairShares(int slots, Collection<AdmissionRequest> waiting) {
        Map<CallerName, Integer> active = new HashMap<>(weights);
        waiting.forEach(request -> active.put(request.account(), request.weight()));
        int total = active.values().stream().mapToInt(Integer::intValue).sum();
        Map<CallerName, Integer> shares = new HashMap<>();
        active.forEach((account, weight) -> shares.put(account, Math.max(1, slots * weight / total)));
        return shares;
    }
}
