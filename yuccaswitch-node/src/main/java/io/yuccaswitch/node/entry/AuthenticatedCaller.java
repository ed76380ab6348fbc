package io.yuccaswitch.node.entry;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;

/**
 * A caller that is known.
 *
 * @param name The caller's name.
 * @param priority The highest priority class that the caller may ask for.
 */
record AuthenticatedCaller(CallerName name, PriorityClass priority) {

    /**
     * Bounds the priority class that a request asks for.
     *
     * @param asked The class that is asked for.
     * @return The class, or the highest one that the caller may have.
     */
    PriorityClass bounded(PriorityClass asked) {
        return asked.compareTo(priority) > 0 ? priority : asked;
    }
}
