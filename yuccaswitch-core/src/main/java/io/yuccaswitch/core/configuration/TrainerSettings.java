package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.identity.PoolName;
import java.util.Optional;

/**
 * A trainer.
 *
 * @param pool The pool whose engines generate the samples of the trainer.
 * @param model The model or adapter that the trainer trains, as the engines name it.
 * @param token The bearer token that tells the trainer from others.
 * @param stalenessBound The largest number of versions that a sample may be behind.
 * @param weight The share of the engines that the trainer gets against others.
 * @param scorer The pool of services that score the samples.
 * @param scorerRepeatable Whether a call of the scorer may be repeated.
 * @param groupsInProgress The largest number of groups of the trainer that are accepted and not yet handed over.
 */
public record TrainerSettings(
        @Setting(description = "The pool whose engines generate the samples of the trainer.", references = "pools")
                PoolName pool,
        @Setting(description = "The model or adapter that the trainer trains, as the engines name it.") String model,
        @Setting(description = "The bearer token that tells the trainer from others.") Optional<String> token,
        @Setting(
                        description = "The largest number of versions that a sample may be behind.",
                        defaultValue = "1",
                        minimum = "0",
                        maximum = "1000")
                int stalenessBound,
        @Setting(
                        description = "The share of the engines that the trainer gets against others.",
                        defaultValue = "1",
                        minimum = "1",
                        maximum = "1000")
                int weight,
        @Setting(description = "The pool of services that score the samples.", references = "pools")
                Optional<PoolName> scorer,
        @Setting(description = "Whether a call of the scorer may be repeated.", defaultValue = "true")
                boolean scorerRepeatable,
        @Setting(
                        description =
                                "The largest number of groups of the trainer that are accepted and not yet handed over.",
                        defaultValue = "4096",
                        minimum = "1",
                        maximum = "65536")
                int groupsInProgress) {}
