package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Merges and disseminates published versions: immediately to a few random nodes, and by a periodic exchange of the
 * newest versions with a random node, which compensates for lost messages. This system runs before all systems that use
 * published versions, and raises {@link WeightEvent.Published} for versions from other nodes and the platform.
 */
public final class VersionSystem implements DecisionSystem {

    /** The number of nodes to which a version is announced. */
    private static final int ANNOUNCEMENT_FANOUT = 3;

    /** The interval at which versions are exchanged with another node. */
    private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(2);

    /** The interval at which a publication is announced again until another node or the platform has it. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(500);

    /** The kind of the decisions that this system makes. */
    private static final String DECISION_KIND = "version";

    /** The newest versions. */
    private final VersionTable versions;

    /** Stores the newest versions on the platform. */
    private final VersionStore store;

    /** The members of the site. */
    private final MembershipView members;

    /** The publications at this node that are not confirmed as safe. */
    private final EntityTable<PublishedVersion, Publication> pending = new EntityTable<>();

    /** The highest version of each trainer that another node or the platform is confirmed to have. */
    private final EntityTable<TrainerName, Long> safe = new EntityTable<>();

    /** The time of the next exchange. */
    private MonotonicTime nextExchangeAt = MonotonicTime.ZERO;

    /** Whether this system has run in any tick. */
    private boolean started;

    /**
     * Creates a new system.
     *
     * @param versions The table of the newest versions, which only this system changes.
     * @param store Stores the newest versions on the platform.
     * @param members The members of the site.
     */
    public VersionSystem(VersionTable versions, VersionStore store, MembershipView members) {
        this.versions = versions;
        this.store = store;
        this.members = members;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        tick.events(WeightEvent.Published.class).forEach(event -> publish(tick, event));
        tick.events(PeerEvent.Received.class).forEach(event -> receive(tick, event));
        for (PublishedVersion stored : store.run(tick, versions)) {
            markSafe(stored.trainer(), stored.version());
            applyUpdate(tick, stored, Optional.empty());
        }
        confirm(tick);
        exchange(tick);
    }

    /**
     * Handles a publication at this node.
     *
     * @param tick The tick.
     * @param event The publication.
     */
    private void publish(Tick tick, WeightEvent.Published event) {
        PublishedVersion published = new PublishedVersion(event.trainer(), event.version(), event.location());
        Optional<PublishedVersion> known = versions.newest(event.trainer());
        if (known.isPresent() && !known.get().equals(published) && !published.isNewerThan(known.get())) {
            reject(tick, event, known.get());
            return;
        }
        if (versions.merge(published)) {
            tick.decide(Decision.of(
                    DECISION_KIND, event.trainer().value(), Long.toString(event.version()), "published at this node"));
            announce(tick, published, Optional.empty());
        }
        store.save(published);
        pending.put(published, new Publication(published, tick.now().plus(RESEND_INTERVAL)));
    }

    /**
     * Rejects a publication at this node.
     *
     * @param tick The tick.
     * @param event The publication.
     * @param newest The newest version.
     */
    private static void reject(Tick tick, WeightEvent.Published event, PublishedVersion newest) {
        tick.raise(new WeightEvent.PublicationRefused(event.trainer(), event.version(), newest.version()));
        tick.decide(Decision.of(
                DECISION_KIND,
                event.trainer().value(),
                Decision.NO_CHOICE,
                "version " + event.version() + " does not follow version " + newest.version()));
    }

    /**
     * Handles a message from another node.
     *
     * @param tick The tick.
     * @param event The received message.
     */
    private void receive(Tick tick, PeerEvent.Received event) {
        NodeName sender = event.sender().name();
        if (event.message() instanceof WeightMessage.Published published) {
            markSafe(published.trainer(), published.version());
            applyUpdate(tick, decode(published), Optional.of(sender));
            long newest = versions.newest(published.trainer()).orElseThrow().version();
            tick.emit(new PeerEffect.Send(sender, new WeightMessage.RecordedVersions(published.trainer(), newest)));
        }
        if (event.message() instanceof WeightMessage.RecordedVersions known) {
            markSafe(known.trainer(), known.version());
        }
        if (event.message() instanceof WeightMessage.Exchange exchange) {
            handleExchange(tick, sender, exchange);
        }
    }

    /**
     * Merges the newest versions of another node, and answers with the versions that are newer at this node.
     *
     * @param tick The tick.
     * @param sender The other node.
     * @param exchange The newest versions of the other node.
     */
    private void handleExchange(Tick tick, NodeName sender, WeightMessage.Exchange exchange) {
        VersionTable theirs = new VersionTable();
        for (WeightMessage.Published published : exchange.versions()) {
            theirs.merge(decode(published));
            markSafe(published.trainer(), published.version());
            applyUpdate(tick, decode(published), Optional.of(sender));
        }
        List<WeightMessage.Published> newer = new ArrayList<>();
        for (PublishedVersion ours : versions.view()) {
            if (theirs.newest(ours.trainer())
                    .filter(their -> !ours.isNewerThan(their))
                    .isEmpty()) {
                newer.add(encode(ours));
            }
        }
        if (!newer.isEmpty()) {
            tick.emit(new PeerEffect.Send(sender, new WeightMessage.Exchange(newer)));
        }
    }

    /**
     * Merges a version from another node or the platform.
     *
     * @param tick The tick.
     * @param update The version.
     * @param source The node that sent the version, or empty if it came from the platform.
     */
    private void applyUpdate(Tick tick, PublishedVersion update, Optional<NodeName> source) {
        if (!versions.merge(update)) {
            return;
        }
        tick.raise(new WeightEvent.Published(update.trainer(), update.version(), update.location()));
        String origin = source.map(NodeName::toString).orElse("the platform");
        tick.decide(Decision.of(
                DECISION_KIND, update.trainer().value(), Long.toString(update.version()), "received from " + origin));
        announce(tick, update, source);
    }

    /**
     * Records that another node or the platform has a version, so that it survives the loss of this node.
     *
     * @param trainer The trainer.
     * @param version The version.
     */
    private void markSafe(TrainerName trainer, long version) {
        if (safe.find(trainer).filter(known -> known >= version).isEmpty()) {
            safe.put(trainer, version);
        }
    }

    /**
     * Confirms the publications that are safe, and announces the others again when this is due.
     *
     * @param tick The tick.
     */
    private void confirm(Tick tick) {
        if (pending.size() == 0) {
            return;
        }
        for (Publication publication : pending.rows()) {
            confirm(tick, publication);
        }
    }

    /**
     * Confirms a publication if it is safe, or announces it again when this is due.
     *
     * @param tick The tick.
     * @param publication The publication.
     */
    private void confirm(Tick tick, Publication publication) {
        TrainerName trainer = publication.version().trainer();
        long version = publication.version().version();
        if (safe.find(trainer).filter(known -> known >= version).isPresent()) {
            pending.remove(publication.version());
            tick.raise(new WeightEvent.PublicationSafe(trainer, version));
        } else if (!tick.now().isBefore(publication.resendAt())) {
            announce(tick, publication.version(), Optional.empty());
            pending.put(
                    publication.version(),
                    new Publication(publication.version(), tick.now().plus(RESEND_INTERVAL)));
        }
    }

    /**
     * Exchanges versions with a random node when this is due.
     *
     * @param tick The tick.
     */
    private void exchange(Tick tick) {
        if (started && tick.now().isBefore(nextExchangeAt)) {
            return;
        }
        started = true;
        nextExchangeAt = tick.now().plus(EXCHANGE_INTERVAL);
        List<WeightMessage.Published> newest =
                versions.view().stream().map(VersionSystem::encode).toList();
        send(tick, new WeightMessage.Exchange(newest), 1, Optional.empty());
    }

    /**
     * Announces a version to a few random nodes.
     *
     * @param tick The tick.
     * @param update The version.
     * @param source The node that sent the version, or empty if no node did.
     */
    private void announce(Tick tick, PublishedVersion update, Optional<NodeName> source) {
        send(tick, encode(update), ANNOUNCEMENT_FANOUT, source);
    }

    /**
     * Sends a message to random nodes.
     *
     * @param tick The tick.
     * @param message The message.
     * @param count The number of nodes to send to, if that many exist.
     * @param excluded A node not to send to.
     */
    private void send(Tick tick, PeerMessage message, int count, Optional<NodeName> excluded) {
        List<NodeName> others = new ArrayList<>();
        NodeName self = members.self().identity().name();
        for (Member member : members.working()) {
            NodeName name = member.identity().name();
            if (!name.equals(self) && excluded.filter(name::equals).isEmpty()) {
                others.add(name);
            }
        }
        for (int sent = 0; sent < count && !others.isEmpty(); sent++) {
            int index = tick.random().nextInt(others.size());
            tick.emit(new PeerEffect.Send(others.remove(index), message));
        }
    }

    /**
     * Encodes a version as a message.
     *
     * @param version The version.
     * @return The message.
     */
    private static WeightMessage.Published encode(PublishedVersion version) {
        return new WeightMessage.Published(version.trainer(), version.version(), version.location());
    }

    /**
     * Decodes a version from a message.
     *
     * @param message The message.
     * @return The version.
     */
    private static PublishedVersion decode(WeightMessage.Published message) {
        return new PublishedVersion(message.trainer(), message.version(), message.location());
    }

    /**
     * A publication at this node that is not confirmed as safe.
     *
     * @param version The version.
     * @param resendAt The time at which it is announced again.
     */
    private record Publication(PublishedVersion version, MonotonicTime resendAt) {}
}
