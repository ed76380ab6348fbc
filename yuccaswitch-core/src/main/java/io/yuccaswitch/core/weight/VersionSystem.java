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
 * Joins news of published versions and spreads them: at once to a few other nodes, and by a steady exchange of the
 * newest versions with one node after another, which closes the gaps that lost messages leave. It runs before all
 * systems that look at published versions, and raises {@link WeightEvent.Published} for news from elsewhere.
 */
public final class VersionSystem implements DecisionSystem {

    /** The number of nodes that news is passed on to. */
    private static final int FANOUT = 3;

    /** The interval at which versions are exchanged with another node. */
    private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(2);

    /** The interval at which a publication is sent again that nobody else is known to have. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(500);

    /** The kind of the decisions that this system makes. */
    private static final String DECISION = "version";

    /** The newest versions. */
    private final VersionTable versions;

    /** Keeps the newest versions on the platform. */
    private final VersionStore store;

    /** The members of the site. */
    private final MembershipView members;

    /** Publications at this node that are not known to be safe. */
    private final EntityTable<PublishedVersion, Publication> pending = new EntityTable<>();

    /** The highest version of each trainer that another node or the platform is known to have. */
    private final EntityTable<TrainerName, Long> safe = new EntityTable<>();

    /** The time of the next exchange. */
    private MonotonicTime nextExchangeAt = MonotonicTime.ZERO;

    /** Whether any tick ran before. */
    private boolean started;

    /**
     * Creates a new system.
     *
     * @param versions The table of the newest versions, which this system alone changes.
     * @param store Keeps the newest versions on the platform.
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
        tick.events(PeerEvent.Received.class).forEach(event -> hear(tick, event));
        for (PublishedVersion stored : store.run(tick, versions)) {
            markSafe(stored.trainer(), stored.version());
            learn(tick, stored, Optional.empty());
        }
        settle(tick);
        exchange(tick);
    }

    /**
     * Takes in a publication at this node.
     *
     * @param tick The tick.
     * @param event The publication.
     */
    private void publish(Tick tick, WeightEvent.Published event) {
        PublishedVersion published = new PublishedVersion(event.trainer(), event.version(), event.location());
        Optional<PublishedVersion> known = versions.newest(event.trainer());
        if (known.isPresent() && !known.get().equals(published) && !published.isNewerThan(known.get())) {
            refuse(tick, event, known.get());
            return;
        }
        if (versions.join(published)) {
            tick.decide(Decision.of(
                    DECISION, event.trainer().value(), Long.toString(event.version()), "published at this node"));
            spread(tick, published, Optional.empty());
        }
        store.keep(published);
        pending.put(published, new Publication(published, tick.now().plus(RESEND_INTERVAL)));
    }

    /**
     * Refuses a publication at this node.
     *
     * @param tick The tick.
     * @param event The publication.
     * @param newest The newest version.
     */
    private static void refuse(Tick tick, WeightEvent.Published event, PublishedVersion newest) {
        tick.raise(new WeightEvent.PublicationRefused(event.trainer(), event.version(), newest.version()));
        tick.decide(Decision.of(
                DECISION,
                event.trainer().value(),
                Decision.NO_CHOICE,
                "version " + event.version() + " does not follow version " + newest.version()));
    }

    /**
     * Takes in a message of another node.
     *
     * @param tick The tick.
     * @param event The arrival of the message.
     */
    private void hear(Tick tick, PeerEvent.Received event) {
        NodeName sender = event.sender().name();
        if (event.message() instanceof WeightMessage.Published published) {
            markSafe(published.trainer(), published.version());
            learn(tick, decode(published), Optional.of(sender));
            long newest = versions.newest(published.trainer()).orElseThrow().version();
            tick.emit(new PeerEffect.Send(sender, new WeightMessage.Known(published.trainer(), newest)));
        }
        if (event.message() instanceof WeightMessage.Known known) {
            markSafe(known.trainer(), known.version());
        }
        if (event.message() instanceof WeightMessage.Exchange exchange) {
            compare(tick, sender, exchange);
        }
    }

    /**
     * Takes in the newest versions of another node, and answers with those that are newer here.
     *
     * @param tick The tick.
     * @param sender The other node.
     * @param exchange The newest versions of the other node.
     */
    private void compare(Tick tick, NodeName sender, WeightMessage.Exchange exchange) {
        VersionTable theirs = new VersionTable();
        for (WeightMessage.Published published : exchange.versions()) {
            theirs.join(decode(published));
            markSafe(published.trainer(), published.version());
            learn(tick, decode(published), Optional.of(sender));
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
     * Takes in news from elsewhere.
     *
     * @param tick The tick.
     * @param news The version.
     * @param source The node that the news came from, or empty if it came from the platform.
     */
    private void learn(Tick tick, PublishedVersion news, Optional<NodeName> source) {
        if (!versions.join(news)) {
            return;
        }
        tick.raise(new WeightEvent.Published(news.trainer(), news.version(), news.location()));
        String origin = source.map(NodeName::toString).orElse("the platform");
        tick.decide(
                Decision.of(DECISION, news.trainer().value(), Long.toString(news.version()), "learned from " + origin));
        spread(tick, news, source);
    }

    /**
     * Notes that a version will not be lost with this node.
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
     * Tells which publications at this node are safe, and sends the others again when it is time.
     *
     * @param tick The tick.
     */
    private void settle(Tick tick) {
        if (pending.size() == 0) {
            return;
        }
        for (Publication publication : pending.rows()) {
            settle(tick, publication);
        }
    }

    /**
     * Tells that a publication at this node is safe, or sends it again when it is time.
     *
     * @param tick The tick.
     * @param publication The publication.
     */
    private void settle(Tick tick, Publication publication) {
        TrainerName trainer = publication.version().trainer();
        long version = publication.version().version();
        if (safe.find(trainer).filter(known -> known >= version).isPresent()) {
            pending.remove(publication.version());
            tick.raise(new WeightEvent.PublicationSafe(trainer, version));
        } else if (!tick.now().isBefore(publication.resendAt())) {
            spread(tick, publication.version(), Optional.empty());
            pending.put(
                    publication.version(),
                    new Publication(publication.version(), tick.now().plus(RESEND_INTERVAL)));
        }
    }

    /**
     * Exchanges versions with another node when it is time.
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
     * Passes news on to a few other nodes.
     *
     * @param tick The tick.
     * @param news The version.
     * @param source The node that the news came from, or empty if it came from no node.
     */
    private void spread(Tick tick, PublishedVersion news, Optional<NodeName> source) {
        send(tick, encode(news), FANOUT, source);
    }

    /**
     * Sends a message to other nodes that are drawn at random.
     *
     * @param tick The tick.
     * @param message The message.
     * @param count The number of nodes to send to, if there are as many.
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
            int drawn = tick.random().nextInt(others.size());
            tick.emit(new PeerEffect.Send(others.remove(drawn), message));
        }
    }

    /**
     * Turns a version into a message.
     *
     * @param version The version.
     * @return The message.
     */
    private static WeightMessage.Published encode(PublishedVersion version) {
        return new WeightMessage.Published(version.trainer(), version.version(), version.location());
    }

    /**
     * Turns a message into a version.
     *
     * @param message The message.
     * @return The version.
     */
    private static PublishedVersion decode(WeightMessage.Published message) {
        return new PublishedVersion(message.trainer(), message.version(), message.location());
    }

    /**
     * A publication at this node that is not known to be safe.
     *
     * @param version The version.
     * @param resendAt The time at which it is sent again.
     */
    private record Publication(PublishedVersion version, MonotonicTime resendAt) {}
}
