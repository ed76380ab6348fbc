package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** A stand-in for the request path and its engines, whose outcomes a test controls. */
interface EngineModel {

    void start(NodeIdentity node, Request request, MonotonicTime now);

    void cancel(RequestId id);

    Optional<Outcome> poll(RequestId id, MonotonicTime now);

    /** Answers each request after a fixed time, with the weight version that is current when the request starts. */
    final class Simple implements EngineModel {

        static final EndpointName ENGINE = new EndpointName(new PoolName("engines"), "engine-1");

        Duration answerTime = Duration.ofMillis(50);
        long version;
        Function<Request, List<Generation.Segment>> label = _request -> List.of(new Generation.Segment(version, 10));
        Function<Request, Optional<Outcome>> override = _request -> Optional.empty();
        final List<Request> startedRequests = new ArrayList<>();
        private final Map<RequestId, Running> running = new HashMap<>();

        private record Running(MonotonicTime endsAt, Outcome outcome) {}

        @Override
        public void start(NodeIdentity _node, Request request, MonotonicTime now) {
            startedRequests.add(request);
            Outcome outcome = override.apply(request).orElseGet(() -> answer(request));
            running.put(request.id(), new Running(now.plus(answerTime), outcome));
        }

        @Override
        public void cancel(RequestId id) {
            running.remove(id);
        }

        @Override
        public Optional<Outcome> poll(RequestId id, MonotonicTime now) {
            Optional<Running> due =
                    Optional.ofNullable(running.get(id)).filter(request -> !now.isBefore(request.endsAt()));
            due.ifPresent(_request -> running.remove(id));
            return due.map(Running::outcome);
        }

        private Outcome answer(Request request) {
            if (request.path().equals("/score")) {
                Bytes body = Bytes.ofUtf8("{\"score\":0.5}");
                return new Outcome.Answered(ENGINE, 200, "application/json", body, Optional.empty());
            }
            Generation generation = new Generation("text of " + request.id(), label.apply(request), "stop");
            return new Outcome.Answered(ENGINE, 200, "application/json", Bytes.EMPTY, Optional.of(generation));
        }
    }
}
