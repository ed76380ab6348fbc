package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.configuration.ConfigurationEffect;
import io.yuccaswitch.core.configuration.ConfigurationView;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.util.Optional;

/** The held generation and the active generation of this node. Both only increase. */
public final class ConfigurationState implements ConfigurationView {

    /** The highest generation that this node holds, or zero. */
    private long heldGeneration;

    /** The envelope of the highest generation that this node holds. */
    private Bytes heldEnvelope = Bytes.EMPTY;

    /** The active generation, or zero. */
    private long generation;

    /** The active configuration. */
    private Optional<FleetConfiguration> active = Optional.empty();

    /** The time since which the generation has been active. */
    private Optional<MonotonicTime> activeSince = Optional.empty();

    /** The number of envelopes that are being decoded. */
    private int decoding;

    /** Whether this node has confirmed that its generation is the newest one that it can obtain. */
    private boolean ready;

    /** {@inheritDoc} */
    @Override
    public long heldGeneration() {
        return heldGeneration;
    }

    /** {@inheritDoc} */
    @Override
    public long generation() {
        return generation;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<FleetConfiguration> active() {
        return active;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<MonotonicTime> activeSince() {
        return activeSince;
    }

    /** {@inheritDoc} */
    @Override
    public boolean isReady() {
        return ready;
    }

    /**
     * Returns the envelope of the highest generation that this node holds.
     *
     * @return The envelope, which is empty if there is none.
     */
    Bytes heldEnvelope() {
        return heldEnvelope;
    }

    /**
     * Requests the decoding of an envelope.
     *
     * @param tick The tick.
     * @param envelope The envelope.
     */
    void decode(Tick tick, Bytes envelope) {
        decoding++;
        tick.emit(new ConfigurationEffect.Decode(envelope));
    }

    /** Records that an envelope was decoded or rejected. */
    void decoded() {
        decoding--;
    }

    /**
     * Returns whether envelopes are being decoded.
     *
     * @return {@code true} if a higher generation may become active.
     */
    boolean isDecoding() {
        return decoding > 0;
    }

    /**
     * Stores an envelope if its generation is higher than the held one.
     *
     * @param candidate The generation.
     * @param envelope The envelope.
     * @return {@code true} if the envelope was stored.
     */
    boolean hold(long candidate, Bytes envelope) {
        if (candidate <= heldGeneration) {
            return false;
        }
        heldGeneration = candidate;
        heldEnvelope = envelope;
        return true;
    }

    /**
     * Activates a configuration if its generation is higher than the active one.
     *
     * @param now The current time.
     * @param candidate The generation.
     * @param configuration The configuration.
     * @return {@code true} if the configuration was activated.
     */
    boolean activate(MonotonicTime now, long candidate, FleetConfiguration configuration) {
        if (candidate <= generation) {
            return false;
        }
        generation = candidate;
        active = Optional.of(configuration);
        activeSince = Optional.of(now);
        return true;
    }

    /** Records that this node may serve. */
    void becomeReady() {
        ready = true;
    }
}
