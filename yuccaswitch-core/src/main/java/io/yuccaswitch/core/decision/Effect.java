package io.yuccaswitch.core.decision;

/**
 * An action that the decision core requests from the surrounding shell. Each concept declares its own sealed
 * sub-interface with its effects as nested records.
 */
public interface Effect {}
