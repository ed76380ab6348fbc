package io.yuccaswitch.node.endpoint;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.EndpointEffect;
import io.yuccaswitch.core.endpoint.EndpointTable;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.endpoint.CacheEventPoller;
import io.yuccaswitch.endpoint.EndpointClient;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.endpoint.LoadProber;
import io.yuccaswitch.endpoint.OrderClient;
import io.yuccaswitch.endpoint.SettlementClient;
import io.yuccaswitch.node.decision.DecisionLoop;

/**
 * Executes the effects that concern endpoints: attempts, probes, reads of cache events and settlements.
 *
 * <p>The systems run in this order: {@code VirtualMachineListSystem}, {@code EndpointSystem}, {@code ProbeSystem}, and
 * then those that route requests. All share one {@link EndpointTable}, as does this class.
 */
public final class EndpointShell {

    /** The decision loop. */
    private final DecisionLoop loop;

    /** The table of endpoints, which is only read on the loop's thread. */
    private final EndpointTable table;

    /** The client that executes attempts. */
    private final EndpointClient client;

    /** Queries endpoints for their load. */
    private final LoadProber prober;

    /** Reads the changes of prefix caches. */
    private final CacheEventPoller cachePoller;

    /** Queries endpoints for the outcomes of requests. */
    private final SettlementClient settlement;

    /** Sends orders to engines. */
    private final OrderClient orders;

    /**
     * Creates a new shell.
     *
     * @param loop The decision loop.
     * @param table The table of endpoints.
     * @param http The HTTP client that all clients of endpoints share.
     * @param metrics The metrics.
     */
    public EndpointShell(DecisionLoop loop, EndpointTable table, EndpointHttp http, MetricRegistry metrics) {
        this.loop = loop;
        this.table = table;
        client = new EndpointClient(http, DecisionLoop::now, loop::accept, metrics);
        prober = new LoadProber(http, DecisionLoop::now, loop::accept);
        cachePoller = new CacheEventPoller(http, loop::accept);
        settlement = new SettlementClient(http, loop::accept);
        orders = new OrderClient(http, DecisionLoop::now, loop::accept);
    }

    /**
     * Returns the client that sends orders to engines, for the effects that concern weights.
     *
     * @return The client.
     */
    public OrderClient orders() {
        return orders;
    }

    /**
     * Subscribes to the effects, before the loop is started.
     *
     * @return The subscription.
     */
    public Disposable connect() {
        return new CompositeDisposable(
                loop.effects(RequestEffect.Send.class).flatMap(this::attempt).subscribe(loop::accept),
                loop.effects(RequestEffect.CancelAttempt.class)
                        .subscribe(effect -> client.cancel(effect.id(), effect.attempt())),
                loop.effects(RequestEffect.Settle.class).subscribe(settlement::settle),
                loop.effects(EndpointEffect.Probe.class).subscribe(prober::probe),
                loop.effects(EndpointEffect.ReadCacheEvents.class).subscribe(cachePoller::poll));
    }

    /**
     * Executes an attempt.
     *
     * @param send The effect that describes the attempt.
     * @return The progress and the end of the attempt.
     */
    private Observable<RequestEvent> attempt(RequestEffect.Send send) {
        PoolKind kind = table.find(send.endpoint()).map(Endpoint::kind).orElse(PoolKind.SERVICE);
        return client.attempt(send, kind).toObservable();
    }
}
