package io.yuccaswitch.core.configuration;

/** The priority class of a request, from the least to the most urgent. */
public enum PriorityClass {
    /** Work that may wait, such as samples that are begun ahead. */
    BATCH,
    /** Ordinary requests. */
    NORMAL,
    /** Requests that must hold under overload. */
    URGENT
}
