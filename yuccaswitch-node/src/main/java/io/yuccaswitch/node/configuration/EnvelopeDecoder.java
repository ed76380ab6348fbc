package io.yuccaswitch.node.configuration;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.FleetConfigurationCodec;
import io.yuccaswitch.settings.SettingsError;
import io.yuccaswitch.settings.SettingsResult;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** Decodes envelopes of the configuration, independent of their sender. */
@FunctionalInterface
public interface EnvelopeDecoder {

    /**
     * Decodes an envelope.
     *
     * @param envelope The envelope, which need not be well-formed.
     * @return The decoded generation, or its rejection.
     */
    ConfigurationEvent decode(Bytes envelope);

    /** Decodes envelopes that hold the merged folder as JSON, as the operators' command writes them. */
    final class OfDocument implements EnvelopeDecoder {

        /** The maximum number of errors that a rejection lists. */
        private static final int MAXIMUM_LISTED_ERRORS = 3;

        /** {@inheritDoc} */
        @Override
        public ConfigurationEvent decode(Bytes envelope) {
            Optional<ConfigurationDocument> document = ConfigurationDocument.decode(envelope);
            if (document.isEmpty()) {
                return new ConfigurationEvent.Rejected(OptionalLong.empty(), envelope, "not an accepted configuration");
            }
            long generation = document.get().generation();
            SettingsResult<FleetConfiguration> result =
                    FleetConfigurationCodec.decode(document.get().content());
            return result.value()
                    .<ConfigurationEvent>map(
                            configuration -> new ConfigurationEvent.Decoded(generation, envelope, configuration))
                    .orElseGet(() ->
                            new ConfigurationEvent.Rejected(OptionalLong.of(generation), envelope, reason(result)));
        }

        /**
         * Joins the first errors of a result.
         *
         * @param result The result.
         * @return The reason of the rejection.
         */
        private static String reason(SettingsResult<FleetConfiguration> result) {
            return result.errors().stream()
                    .limit(MAXIMUM_LISTED_ERRORS)
                    .map(SettingsError::toString)
                    .collect(Collectors.joining("; "));
        }
    }
}
