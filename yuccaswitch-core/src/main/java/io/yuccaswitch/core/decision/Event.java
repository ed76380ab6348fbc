package io.yuccaswitch.core.decision;

/**
 * An occurrence outside of the decision core, or a notification by one system to the systems that run after it in the
 * same tick. Each concept declares its own sealed sub-interface with its events as nested records.
 */
public interface Event {}
