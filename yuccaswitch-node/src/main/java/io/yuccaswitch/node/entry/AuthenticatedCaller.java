package io.yuccaswitch.node.entry;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;

/**
 * A caller that has been authenticated.
 *
 * @param name The caller's name.
 * @param priority The highest priority class that the caller may request.
 */
record AuthenticatedCaller(CallerName name, PriorityClass priority) {

    /**
     * Limits the priority class of a request to the highest one of the caller.
     *
     * @param requested The requested class.
     * @return The requested class, or the highest one of the caller if that is lower.
     */
    PriorityClass limited(PriorityClass requested) {
        return requested.compareTo(priority) > 0 ? priority : requested;
    }
}
