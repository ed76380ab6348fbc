package io.yuccaswitch.core.modelversion;

/**
 * The newest version of a model's weights, as its trainer named it.
 *
 * @param model The model.
 * @param version The version.
 */
public record NamedVersion(String model, long version) {}
