package io.yuccaswitch.core.decision;

/**
 * Something that happened outside of the decision core, or that one system tells the systems after it in the same tick.
 * Each concept declares its own sealed sub-interface with its events as nested records.
 */
public interface Event {}
