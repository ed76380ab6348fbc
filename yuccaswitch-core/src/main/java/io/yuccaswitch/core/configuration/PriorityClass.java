package io.yuccaswitch.core.configuration;

/** The priority class of a request, from the least to the most urgent. */
public enum PriorityClass {
    /** Work that may be delayed, such as samples that are started ahead of time. */
    BATCH,
    /** Ordinary requests. */
    NORMAL,
    /** Requests that must be served under overload. */
    URGENT
}
