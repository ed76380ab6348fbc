package io.yuccaswitch.core.decision;

/**
 * Something that the decision core wants done by the shell around it. Each concept declares its own sealed
 * sub-interface with its effects as nested records.
 */
public interface Effect {}
