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

/** Connects the membership with the transport: where nodes listen, who this node is, and what goes to whom. */
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
     * Creates a service that does nothing yet.
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

    /** Subscribes to the effects. This is called before the loop starts. */
    public void start() {
        subscriptions.add(loop.effects(MembershipEffect.class).subscribe(this::carryOut));
        subscriptions.add(transport.subscribe(loop.effects(PeerEffect.class)));
    }

    /**
     * Shows what the membership counts as metrics. The numbers are read from another thread than the one that counts,
     * and may be slightly behind.
     *
     * @param membership The membership.
     * @param metrics The registry to show them in.
     */
    public static void register(MembershipSystem membership, MetricRegistry metrics) {
        gauge(membership, metrics, "exchanges", MembershipStatistics::exchanges);
        gauge(membership, metrics, "answers", MembershipStatistics::answers);
        gauge(membership, metrics, "suspicions", MembershipStatistics::suspicions);
        gauge(membership, metrics, "suspicions.refuted", MembershipStatistics::refutedSuspicions);
        gauge(membership, metrics, "deaths.refuted", MembershipStatistics::refutedDeaths);
        gauge(membership, metrics, "objections", MembershipStatistics::ownRefutations);
        gauge(membership, metrics, "pauses", MembershipStatistics::pauses);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        subscriptions.dispose();
    }

    /**
     * Carries out an effect.
     *
     * @param effect The effect.
     */
    private void carryOut(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.LearnAddress learned) {
            addresses.learn(learned.node(), learned.peerAddress());
        } else if (effect instanceof MembershipEffect.ForgetAddress forgotten) {
            addresses.forget(forgotten.node());
        } else if (effect instanceof MembershipEffect.Identify identified) {
            transport.identify(identified.identity());
        }
    }

    /**
     * Shows one number as a metric.
     *
     * @param membership The membership.
     * @param metrics The registry to show it in.
     * @param name The name after the prefix.
     * @param number Reads the number.
     */
    private static void gauge(
            MembershipSystem membership,
            MetricRegistry metrics,
            String name,
            ToLongFunction<MembershipStatistics> number) {
        metrics.register(MetricRegistry.name("membership", name), (Gauge<Long>)
                () -> number.applyAsLong(membership.statistics()));
    }
}
