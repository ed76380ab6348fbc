package io.yuccaswitch.core.modelversion;

/**
 * The newest version of a model's weights that its trainer has named.
 *
 * @param model The model.
 * @param version The version.
 */
public record NamedVersion(String model, long version) {}
