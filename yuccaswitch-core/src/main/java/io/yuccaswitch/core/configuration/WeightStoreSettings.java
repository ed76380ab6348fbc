package io.yuccaswitch.core.configuration;

/**
 * The store from which engines load weights.
 *
 * @param address The address of the store as host:port.
 * @param concurrentLoads The maximum number of engines that load from the store concurrently.
 */
public record WeightStoreSettings(
        @Setting(description = "The address of the store as host:port.") String address,
        @Setting(
                        description = "The maximum number of engines that load from the store concurrently.",
                        defaultValue = "4",
                        minimum = "1",
                        maximum = "4096")
                int concurrentLoads) {}
