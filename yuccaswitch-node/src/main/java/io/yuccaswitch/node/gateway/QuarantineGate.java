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

/**
 * Checks before each attempt of a plain request whether the quarantine allows it, and reports the outcome of the
 * attempt.
 */
final class QuarantineGate {

    /**
     * The number of endpoints that may end while running one request. Once it is reached, the request is not sent to
     * another endpoint at once.
     */
    private static final int MAXIMUM_ENDED_ENDPOINTS = 2;

    /** Receives the events of requests. */
    private final EventSink events;

    /** The current quarantine state. */
    private volatile QuarantineView view = QuarantineView.EMPTY;

    /** The end of the hold of each request that this node has sent on trial, so that it sends only one copy. */
    private final Map<RequestFingerprint, Long> trials = new ConcurrentHashMap<>();

    /**
     * Creates a gate without any quarantine state, which allows all requests.
     *
     * @param events Receives the events of requests.
     */
    QuarantineGate(EventSink events) {
        this.events = events;
    }

    /**
     * Replaces the quarantine state.
     *
     * @param current The new state.
     */
    void replace(QuarantineView current) {
        view = current;
        trials.keySet().retainAll(current.entries().keySet());
    }

    /**
     * Returns the quarantine state.
     *
     * @return The view.
     */
    QuarantineView view() {
        return view;
    }

    /**
     * Creates the check of a request.
     *
     * @param request The request.
     * @return The check.
     */
    RequestCheck quarantineCheck(PlainRequest request) {
        return new RequestCheck(request);
    }

    /** Checks the attempts of one request. */
    final class RequestCheck {

        /** The request. */
        private final PlainRequest request;

        /** The fingerprint of the request, computed when first needed. */
        private Optional<RequestFingerprint> fingerprint = Optional.empty();

        /** The endpoints that definitely ended while running an attempt of this request. */
        private final Set<EndpointName> ended = new HashSet<>();

        /** Whether an attempt lost its answer. */
        private boolean answerLost;

        /** Whether the request was held and was then sent on trial. */
        private boolean onTrial;

        /**
         * Creates a check.
         *
         * @param request The request.
         */
        private RequestCheck(PlainRequest request) {
            this.request = request;
        }

        /**
         * Returns after which time the request may be retried, if it must not be sent now.
         *
         * @param working The candidate endpoints.
         * @return The delay before a retry, or empty if the request may be sent.
         */
        Optional<Duration> refusal(List<RegisteredEndpoint> working) {
            QuarantineView current = view;
            if (current.isEmpty() && ended.isEmpty()) {
                return Optional.empty();
            }
            if (onTrial) {
                return answerLost ? Optional.of(LastEndpoint.RETRY_DELAY) : Optional.empty();
            }
            if (!ended.isEmpty() && countEndedEndpoints(current) >= MAXIMUM_ENDED_ENDPOINTS) {
                return Optional.of(LastEndpoint.RETRY_DELAY);
            }
            long now = System.currentTimeMillis();
            Verdict verdict = current.verdict(fingerprint(), now);
            if (verdict instanceof Verdict.Refuse refuse) {
                return Optional.of(refuse.retryDelay());
            }
            if (verdict instanceof Verdict.Trial) {
                return beginTrial(current);
            }
            boolean withheld = verdict instanceof Verdict.Restrain
                    && (answerLost || current.protectsLastEndpoint(fingerprint(), names(working), now));
            return withheld ? Optional.of(LastEndpoint.RETRY_DELAY) : Optional.empty();
        }

        /**
         * Returns whether the next attempt needs a new connection, so that the end of the endpoint can be distinguished
         * from the end of an idle connection.
         *
         * @param endpoint The endpoint.
         * @return {@code true} if the request or the endpoint is suspect.
         */
        boolean needsNewConnection(RegisteredEndpoint endpoint) {
            QuarantineView current = view;
            return answerLost
                    || current.ended().contains(endpoint.name())
                    || (!current.isEmpty() && !(verdict(current) instanceof Verdict.Serve));
        }

        /**
         * Records an attempt that lost its answer.
         *
         * @param endpoint The endpoint.
         * @param loss The state of the endpoint that follows from the loss.
         */
        void recordLostAnswer(RegisteredEndpoint endpoint, Loss loss) {
            answerLost = true;
            if (loss.cause() == Loss.Cause.ENDPOINT_ENDED && loss.wasRunning()) {
                ended.add(endpoint.name());
            }
            if (loss.cause() != Loss.Cause.UNUSABLE) {
                events.accept(new QuarantineEvent.AnswerLost(fingerprint(), request.describe(), endpoint.name(), loss));
            }
        }

        /**
         * Records that nothing listens at the address of an endpoint.
         *
         * @param endpoint The endpoint.
         */
        void recordUnreachable(RegisteredEndpoint endpoint) {
            if (!view.ended().contains(endpoint.name())) {
                events.accept(new QuarantineEvent.EndpointEnded(endpoint.name()));
            }
        }

        /** Records that an endpoint answered the request successfully. */
        void recordSuccess() {
            if (answerLost || (!view.isEmpty() && view.find(fingerprint()).isPresent())) {
                events.accept(new QuarantineEvent.Served(fingerprint()));
            }
        }

        /**
         * Returns the fingerprint of the request for logs, if it was needed because an attempt lost its answer or the
         * quarantine has entries.
         *
         * @return The fingerprint as text, or a dash.
         */
        String describe() {
            return fingerprint.map(RequestFingerprint::toString).orElse("-");
        }

        /**
         * Sends the request on trial, unless another copy of it already was.
         *
         * @param current The quarantine state.
         * @return The delay before a retry, or empty if the request may be sent.
         */
        private Optional<Duration> beginTrial(QuarantineView current) {
            long heldUntil = current.find(fingerprint())
                    .map(QuarantineView.Entry::heldUntil)
                    .orElse(0L);
            Long previous = trials.put(fingerprint(), heldUntil);
            if (previous != null && previous == heldUntil) {
                return Optional.of(LastEndpoint.RETRY_DELAY);
            }
            onTrial = true;
            events.accept(new QuarantineEvent.TrialBegun(fingerprint()));
            return Optional.empty();
        }

        /**
         * Counts the endpoints that ended while running the request, at this node and at others.
         *
         * @param current The quarantine state.
         * @return The number.
         */
        private int countEndedEndpoints(QuarantineView current) {
            Set<EndpointName> all = new HashSet<>(ended);
            all.addAll(current.endpointsEndedBy(fingerprint()));
            return all.size();
        }

        /**
         * Returns the verdict on the request.
         *
         * @param current The quarantine state.
         * @return The verdict.
         */
        private Verdict verdict(QuarantineView current) {
            return current.verdict(fingerprint(), System.currentTimeMillis());
        }

        /**
         * Returns the fingerprint of the request, and computes it when first needed.
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
