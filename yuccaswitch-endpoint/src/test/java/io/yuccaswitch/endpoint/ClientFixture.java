package io.yuccaswitch.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Creates an endpoint client and starts attempts with it. */
final class ClientFixture implements AutoCloseable {

    static final EndpointName ENDPOINT = new EndpointName(new PoolName("pool"), "one");
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(20);

    final MetricRegistry metrics = new MetricRegistry();
    final EndpointHttp http;
    final EndpointClient client;
    final List<Event> endpointEvents = new CopyOnWriteArrayList<>();
    private int attempts;

    ClientFixture() {
        this(EndpointClientSettings.DEFAULT);
    }

    ClientFixture(EndpointClientSettings settings) {
        http = new EndpointHttp(settings, metrics);
        client = new EndpointClient(http, ClientFixture::now, endpointEvents::add, metrics);
    }

    static MonotonicTime now() {
        return new MonotonicTime(System.nanoTime());
    }

    static Request request(String id, String path, String body) {
        return new Request(
                new RequestId(id),
                ENDPOINT.pool(),
                new CallerName("caller"),
                PriorityClass.NORMAL,
                false,
                true,
                now().plus(ATTEMPT_TIMEOUT),
                "POST",
                path,
                "application/json",
                Bytes.ofUtf8(body),
                Optional.empty(),
                0,
                List.of(),
                1,
                1);
    }

    RequestEffect.Send send(String address, Request request, Duration timeLeft, Optional<Generation> resumeFrom) {
        return new RequestEffect.Send(request, ++attempts, ENDPOINT, address, now().plus(timeLeft), resumeFrom, false);
    }

    AttemptResult post(String address, String id) {
        return post(address, id, ATTEMPT_TIMEOUT);
    }

    AttemptResult post(String address, String id, Duration timeLeft) {
        return result(start(
                send(address, request(id, "/ledger", "{\"amount\":1}"), timeLeft, Optional.empty()), PoolKind.SERVICE));
    }

    AttemptResult generate(String address, String id, String body) {
        return generate(address, id, body, Optional.empty());
    }

    AttemptResult generate(String address, String id, String body, Optional<Generation> resumeFrom) {
        return result(start(
                send(address, request(id, "/v1/completions", body), ATTEMPT_TIMEOUT, resumeFrom), PoolKind.ENGINE));
    }

    TestSubscriber<RequestEvent> start(RequestEffect.Send send, PoolKind kind) {
        return client.attempt(send, kind).test();
    }

    /** Returns the result of an attempt, which must be its only end and its last event. */
    static AttemptResult result(TestSubscriber<RequestEvent> events) {
        events.awaitDone(ATTEMPT_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        events.assertComplete();
        List<RequestEvent> ends = events.values().stream()
                .filter(RequestEvent.AttemptEnded.class::isInstance)
                .toList();
        assertThat(ends).as("the ends of the attempt").hasSize(1);
        assertThat(events.values()).endsWith(ends.get(0));
        return ((RequestEvent.AttemptEnded) ends.get(0)).result();
    }

    @Override
    public void close() {
        http.close();
    }
}
