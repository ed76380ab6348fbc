package io.yuccaswitch.node.membership;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.yuccaswitch.core.membership.MembershipEffect;
import io.yuccaswitch.core.membership.MembershipStatistics;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.peer.LearnedAddresses;
import io.yuccaswitch.protocol.PeerTransport;
import java.util.function.ToLongFunction;

/** Connects the membership to the transport: peer addresses, the identity of this node, and messages. */
public final class MembershipService implements AutoCloseable {

    /** The decision loop. */
    private final DecisionLoop loop;

    /** The transport. */
    private final PeerTransport transport;

    /** The addresses of other nodes. */
    private final LearnedAddresses addresses;

    /** The subscriptions to the effects. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a service that is not started yet.
     *
     * @param loop The decision loop.
     * @param transport The transport.
     * @param addresses The addresses of other nodes, which the transport uses.
     */
    public MembershipService(DecisionLoop loop, PeerTransport transport, LearnedAddresses addresses) {
        this.loop = loop;
        this.transport = transport;
        this.addresses = addresses;
    }

    /** Subscribes to the effects. Must be called before the loop starts. */
    public void start() {
        subscriptions.add(loop.effects(MembershipEffect.class).subscribe(this::execute));
        subscriptions.add(transport.subscribe(loop.effects(PeerEffect.class)));
    }

    /**
     * Registers the statistics of the membership as metrics. They are read from another thread than the one that
     * counts, and may lag slightly.
     *
     * @param membership The membership.
     * @param metrics The registry of the metrics.
     */
    public static void register(MembershipSystem membership, MetricRegistry metrics) {
        registerGauge(membership, metrics, "exchanges", MembershipStatistics::exchanges);
        registerGauge(membership, metrics, "answers", MembershipStatistics::answers);
        registerGauge(membership, metrics, "suspicions", MembershipStatistics::suspicions);
        registerGauge(membership, metrics, "suspicions.refuted", MembershipStatistics::refutedSuspicions);
        registerGauge(membership, metrics, "deaths.refuted", MembershipStatistics::refutedDeaths);
        registerGauge(membership, metrics, "objections", MembershipStatistics::ownRefutations);
        registerGauge(membership, metrics, "pauses", MembershipStatistics::pauses);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        subscriptions.dispose();
    }

    /**
     * Executes an effect.
     *
     * @param effect The effect.
     */
    private void execute(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.RegisterAddress learned) {
            addresses.learn(learned.node(), learned.peerAddress());
        } else if (effect instanceof MembershipEffect.RemoveAddress forgotten) {
            addresses.forget(forgotten.node());
        } else if (effect instanceof MembershipEffect.Identify identified) {
            transport.identify(identified.identity());
        }
    }

    /**
     * Registers one statistic as a metric.
     *
     * @param membership The membership.
     * @param metrics The registry of the metrics.
     * @param name The name after the prefix.
     * @param statistic Reads the statistic.
     */
    private static void registerGauge(
            MembershipSystem membership,
            MetricRegistry metrics,
            String name,
            ToLongFunction<MembershipStatistics> statistic) {
        metrics.register(MetricRegistry.name("membership", name), (Gauge<Long>)
                () -> statistic.applyAsLong(membership.statistics()));
    }
}
