package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.identity.PoolName;
import java.util.Optional;

/**
 * A trainer.
 *
 * @param pool The pool whose engines generate the samples of the trainer.
 * @param model The name at the engines of the model or adapter that the trainer trains.
 * @param token The bearer token that identifies the trainer.
 * @param stalenessBound The maximum number of versions by which a sample may lag.
 * @param weight The weight by which the trainer's share of the engines is computed.
 * @param scorer The pool of services that score the samples.
 * @param scorerRepeatable Whether a call of the scorer may be repeated.
 * @param groupsInProgress The maximum number of groups of the trainer that are accepted and not yet delivered.
 */
public record TrainerSettings(
        @Setting(description = "The pool whose engines generate the samples of the trainer.", references = "pools")
                PoolName pool,
        @Setting(description = "The name at the engines of the model or adapter that the trainer trains.") String model,
        @Setting(description = "The bearer token that identifies the trainer.") Optional<String> token,
        @Setting(
                        description = "The maximum number of versions by which a sample may lag.",
                        defaultValue = "1",
                        minimum = "0",
                        maximum = "1000")
                int stalenessBound,
        @Setting(
                        description = "The weight by which the trainer's share of the engines is computed.",
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
                                "The maximum number of groups of the trainer that are accepted and not yet delivered.",
                        defaultValue = "4096",
                        minimum = "1",
                        maximum = "65536")
                int groupsInProgress) {}
