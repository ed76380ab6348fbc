package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.quarantine.LastEndpoint;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.quarantine.QuarantineEvent;
import io.yuccaswitch.core.quarantine.QuarantineView;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.quarantine.Verdict;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.node.decision.EventSink;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Asks before each attempt of a plain request whether it may go to an endpoint, and tells what became of it. */
final class QuarantineGate {

    /** The number of endpoints that end under one request before it goes to no further one at once. */
    private static final int MOST_ENDED_AT_ONCE = 2;

    /** Takes what happens to requests. */
    private final EventSink events;

    /** What is known. */
    private volatile QuarantineView view = QuarantineView.EMPTY;

    /** Until when the requests were held that this node has let through, such that it lets one copy through. */
    private final Map<RequestFingerprint, Long> tried = new ConcurrentHashMap<>();

    /**
     * Creates a gate that lets all requests through.
     *
     * @param events Takes what happens to requests.
     */
    QuarantineGate(EventSink events) {
        this.events = events;
    }

    /**
     * Takes what is known.
     *
     * @param current What is known now.
     */
    void replace(QuarantineView current) {
        view = current;
        tried.keySet().retainAll(current.entries().keySet());
    }

    /**
     * Returns what is known.
     *
     * @return The view.
     */
    QuarantineView view() {
        return view;
    }

    /**
     * Begins to watch a request.
     *
     * @param request The request.
     * @return Its passage.
     */
    Passage passage(PlainRequest request) {
        return new Passage(request);
    }

    /** One request on its way past the gate, once for each attempt. */
    final class Passage {

        /** The request. */
        private final PlainRequest request;

        /** What recognises it, computed when it is first needed. */
        private Optional<RequestFingerprint> fingerprint = Optional.empty();

        /** The endpoints that surely ended under the attempts of this request. */
        private final Set<EndpointName> ended = new HashSet<>();

        /** Whether an attempt brought no answer. */
        private boolean lost;

        /** Whether the request was held and was let through. */
        private boolean trying;

        /**
         * Creates a passage.
         *
         * @param request The request.
         */
        private Passage(PlainRequest request) {
            this.request = request;
        }

        /**
         * Returns why the request may not go to an endpoint now, if it may not.
         *
         * @param working The endpoints that may get it.
         * @return The time after which it may come back, or empty if it may go on.
         */
        Optional<Duration> refusal(List<RegisteredEndpoint> working) {
            QuarantineView known = view;
            if (known.isEmpty() && ended.isEmpty()) {
                return Optional.empty();
            }
            if (trying) {
                return lost ? Optional.of(LastEndpoint.COME_BACK) : Optional.empty();
            }
            if (!ended.isEmpty() && endedInAll(known) >= MOST_ENDED_AT_ONCE) {
                return Optional.of(LastEndpoint.COME_BACK);
            }
            long now = System.currentTimeMillis();
            Verdict verdict = known.verdict(fingerprint(), now);
            if (verdict instanceof Verdict.Refuse refuse) {
                return Optional.of(refuse.comeBack());
            }
            if (verdict instanceof Verdict.Try) {
                return beginTrial(known);
            }
            boolean restrained = verdict instanceof Verdict.Restrain
                    && (lost || known.sparesLast(fingerprint(), names(working), now));
            return restrained ? Optional.of(LastEndpoint.COME_BACK) : Optional.empty();
        }

        /**
         * Returns whether the next attempt needs a connection of its own, such that the end of the endpoint can be told
         * from a connection that had ended before.
         *
         * @param endpoint The endpoint.
         * @return {@code true} if the request or the endpoint is in doubt.
         */
        boolean needsNewConnection(RegisteredEndpoint endpoint) {
            QuarantineView known = view;
            return lost
                    || known.ended().contains(endpoint.name())
                    || (!known.isEmpty() && !(verdict(known) instanceof Verdict.Serve));
        }

        /**
         * Takes an attempt that brought no answer.
         *
         * @param endpoint The endpoint.
         * @param loss What that says of the endpoint.
         */
        void lose(RegisteredEndpoint endpoint, Loss loss) {
            lost = true;
            if (loss.cause() == Loss.Cause.ENDPOINT_ENDED && loss.lived()) {
                ended.add(endpoint.name());
            }
            if (loss.cause() != Loss.Cause.UNUSABLE) {
                events.accept(new QuarantineEvent.AnswerLost(fingerprint(), request.describe(), endpoint.name(), loss));
            }
        }

        /**
         * Takes that nothing listens at an endpoint's address.
         *
         * @param endpoint The endpoint.
         */
        void findGone(RegisteredEndpoint endpoint) {
            if (!view.ended().contains(endpoint.name())) {
                events.accept(new QuarantineEvent.EndpointEnded(endpoint.name()));
            }
        }

        /** Takes that an endpoint answered the request with success. */
        void serve() {
            if (lost || (!view.isEmpty() && view.find(fingerprint()).isPresent())) {
                events.accept(new QuarantineEvent.Served(fingerprint()));
            }
        }

        /**
         * Returns what recognises the request, for logs, where an attempt brought no answer or something is known of
         * it.
         *
         * @return The fingerprint as text, or a dash.
         */
        String describe() {
            return fingerprint.map(RequestFingerprint::toString).orElse("-");
        }

        /**
         * Lets the request through, unless another copy of it was.
         *
         * @param known What is known.
         * @return The time after which it may come back, or empty if it may go on.
         */
        private Optional<Duration> beginTrial(QuarantineView known) {
            long heldUntil = known.find(fingerprint())
                    .map(QuarantineView.Entry::heldUntil)
                    .orElse(0L);
            Long before = tried.put(fingerprint(), heldUntil);
            if (before != null && before == heldUntil) {
                return Optional.of(LastEndpoint.COME_BACK);
            }
            trying = true;
            events.accept(new QuarantineEvent.TrialBegun(fingerprint()));
            return Optional.empty();
        }

        /**
         * Counts the endpoints that ended under the request, here and elsewhere.
         *
         * @param known What is known.
         * @return The number.
         */
        private int endedInAll(QuarantineView known) {
            Set<EndpointName> all = new HashSet<>(ended);
            all.addAll(known.endedUnder(fingerprint()));
            return all.size();
        }

        /**
         * Returns the verdict on the request.
         *
         * @param known What is known.
         * @return The verdict.
         */
        private Verdict verdict(QuarantineView known) {
            return known.verdict(fingerprint(), System.currentTimeMillis());
        }

        /**
         * Returns what recognises the request.
         *
         * @return The fingerprint.
         */
        private RequestFingerprint fingerprint() {
            if (fingerprint.isEmpty()) {
                fingerprint = Optional.of(request.fingerprint());
            }
            return fingerprint.get();
        }

        /**
         * Returns the names of endpoints.
         *
         * @param endpoints The endpoints.
         * @return Their names.
         */
        private static List<EndpointName> names(List<RegisteredEndpoint> endpoints) {
            return endpoints.stream().map(RegisteredEndpoint::name).toList();
        }
    }
}
