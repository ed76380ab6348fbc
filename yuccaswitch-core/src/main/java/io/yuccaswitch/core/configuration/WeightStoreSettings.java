package io.yuccaswitch.core.configuration;

/**
 * The store that engines load weights from.
 *
 * @param address The address of the store as host:port.
 * @param concurrentLoads The largest number of engines that load from the store at the same time.
 */
public record WeightStoreSettings(
        @Setting(description = "The address of the store as host:port.") String address,
        @Setting(
                        description = "The largest number of engines that load from the store at the same time.",
                        defaultValue = "4",
                        minimum = "1",
                        maximum = "4096")
                int concurrentLoads) {}
