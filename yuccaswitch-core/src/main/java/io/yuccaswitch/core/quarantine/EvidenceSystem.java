package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Detects which requests endpoints were processing when they terminated, from unanswered attempts and from the later
 * status of the endpoints.
 */
final class EvidenceSystem implements DecisionSystem {

    /**
     * How long an unanswered attempt is retained while its endpoint may still turn out to have terminated. The registry
     * drops a silent endpoint after three of its heartbeats, and this node receives that within one more second.
     */
    private static final Duration UNANSWERED_RETENTION = Duration.ofSeconds(6);

    /** The maximum number of retained unanswered attempts, far above that of a node whose endpoints all hang. */
    private static final int MAXIMUM_UNANSWERED = 1024;

    /**
     * The delay after which evidence is dropped if the registry still lists the endpoint. An endpoint that is listed
     * for longer than this is running, and was only unreachable from this node.
     */
    private static final Duration REFUTATION_DELAY = Duration.ofSeconds(8);

    /** The interval at which expired requests and refuted evidence are removed. */
    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(1);

    /** The state that the systems of the quarantine share. */
    private final QuarantineState state;

    /** The status of endpoints according to the registry. */
    private final EndpointStates endpointStates;

    /** The unanswered attempts whose endpoints may have terminated, the oldest first. */
    private final Deque<UnansweredAttempt> unanswered = new ArrayDeque<>();

    /** The time of the next clean-up. */
    private MonotonicTime cleanupAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a system.
     *
     * @param state The state that the systems of the quarantine share.
     * @param endpointStates The status of endpoints according to the registry.
     */
    EvidenceSystem(QuarantineState state, EndpointStates endpointStates) {
        this.state = state;
        this.endpointStates = endpointStates;
    }

    @Override
    public void run(Tick tick) {
        for (QuarantineEvent event : tick.events(QuarantineEvent.class)) {
            apply(tick, event);
        }
        resolveUnanswered(tick);
        if (!tick.now().isBefore(cleanupAt)) {
            cleanupAt = tick.now().plus(CLEANUP_INTERVAL);
            cleanUp();
            state.evictEnded(tick.now());
        }
    }

    /**
     * Applies an event.
     *
     * @param tick The tick.
     * @param event The event.
     */
    void apply(Tick tick, QuarantineEvent event) {
        if (event instanceof QuarantineEvent.AnswerLost lost) {
            recordLoss(tick, lost);
        } else if (event instanceof QuarantineEvent.EndpointEnded ended) {
            state.recordEnded(ended.endpoint(), tick.now());
        } else if (event instanceof QuarantineEvent.EndpointLost ended) {
            recordLostEndpoint(tick, ended.endpoint());
        } else if (event instanceof QuarantineEvent.Served served) {
            unanswered.removeIf(attempt -> attempt.event().fingerprint().equals(served.fingerprint()));
            state.clear(tick, served.fingerprint(), "an endpoint answered it");
        } else if (event instanceof QuarantineEvent.Released released) {
            state.clear(tick, released.fingerprint(), "released by an operator");
        } else if (event instanceof QuarantineEvent.TrialBegun trial) {
            beginTrial(tick, trial.fingerprint());
        }
    }

    /**
     * Records an unanswered attempt.
     *
     * @param tick The tick.
     * @param lost The unanswered attempt.
     */
    private void recordLoss(Tick tick, QuarantineEvent.AnswerLost lost) {
        if (lost.loss().cause() == Loss.Cause.ENDPOINT_ENDED) {
            recordLostEndpoint(tick, lost.endpoint());
            recordEvidence(tick, lost, state.epochMillis());
            return;
        }
        if (lost.loss().cause() == Loss.Cause.UNUSABLE) {
            return;
        }
        if (unanswered.size() >= MAXIMUM_UNANSWERED) {
            unanswered.removeFirst();
        }
        unanswered.addLast(new UnansweredAttempt(lost, tick.now(), state.epochMillis()));
    }

    /**
     * Records that an endpoint terminated during an attempt of this node, and has it announced to other nodes.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     */
    private void recordLostEndpoint(Tick tick, EndpointName endpoint) {
        if (state.recordEnded(endpoint, tick.now())) {
            state.unannouncedEnds().add(endpoint);
        }
    }

    /**
     * Records evidence for unanswered attempts whose endpoints have terminated, and drops attempts whose retention has
     * elapsed.
     *
     * @param tick The tick.
     */
    private void resolveUnanswered(Tick tick) {
        List<UnansweredAttempt> resolved = new ArrayList<>();
        for (UnansweredAttempt attempt : unanswered) {
            EndpointName endpoint = attempt.event().endpoint();
            if (state.isEnded(endpoint) || endpointStates.of(endpoint) == EndpointStates.State.GONE) {
                resolved.add(attempt);
                recordEvidence(tick, attempt.event(), attempt.lostAt());
            } else if (tick.now().since(attempt.since()).compareTo(UNANSWERED_RETENTION) > 0) {
                resolved.add(attempt);
            }
        }
        unanswered.removeAll(resolved);
    }

    /**
     * Records that an endpoint terminated while it processed a request, unless it was draining before a planned stop.
     *
     * @param tick The tick.
     * @param lost The unanswered attempt.
     * @param lostAt When its answer was lost, in milliseconds since the epoch. A clearance of the request after this
     *     time also covers this termination, however late it is detected.
     */
    private void recordEvidence(Tick tick, QuarantineEvent.AnswerLost lost, long lostAt) {
        if (endpointStates.of(lost.endpoint()) == EndpointStates.State.LEAVING) {
            return;
        }
        CrashEvidence evidence =
                new CrashEvidence(lost.endpoint(), lostAt, lost.loss().wasRunning());
        Suspect recorded = state.suspects()
                .find(lost.fingerprint())
                .orElseGet(() -> new Suspect(lost.fingerprint(), lost.description()));
        Suspect updated = recorded.withEvidence(evidence);
        state.recordLocal(updated);
        tick.decide(Decision.of(
                "quarantine",
                lost.fingerprint().toString(),
                evidence.certain() ? "endpoint ended" : "endpoint may have ended",
                lost.description() + " at " + lost.endpoint() + ", " + updated.count() + " terminations so far"));
    }

    /**
     * Records that a held request is let through for a trial.
     *
     * @param tick The tick.
     * @param fingerprint The request.
     */
    private void beginTrial(Tick tick, RequestFingerprint fingerprint) {
        state.suspects().find(fingerprint).ifPresent(suspect -> {
            state.recordLocal(suspect.withTrial(state.epochMillis()));
            tick.decide(Decision.of("quarantine", fingerprint.toString(), "tried", "its hold time has elapsed"));
        });
    }

    /** Removes requests whose retention has elapsed, and evidence against endpoints that are still running. */
    private void cleanUp() {
        long now = state.epochMillis();
        for (Suspect suspect : state.suspects().rows()) {
            List<CrashEvidence> refuted = suspect.crashEvidence().stream()
                    .filter(evidence -> isRefuted(evidence, now))
                    .toList();
            if (!refuted.isEmpty()) {
                refute(suspect, refuted);
            } else if (QuarantinePolicy.isExpired(suspect, now)) {
                state.remove(suspect.fingerprint());
            }
        }
    }

    /**
     * Returns whether an endpoint that was considered terminated is still running.
     *
     * @param evidence The evidence against the endpoint.
     * @param now The current time in milliseconds since the epoch.
     * @return {@code true} if the registry still lists it.
     */
    private boolean isRefuted(CrashEvidence evidence, long now) {
        return now - evidence.at() >= REFUTATION_DELAY.toMillis()
                && endpointStates.of(evidence.endpoint()) == EndpointStates.State.WORKING;
    }

    /**
     * Drops evidence against endpoints that are still running. Every node does so on its own, so this is not announced.
     *
     * @param suspect The request.
     * @param refuted The refuted evidence.
     */
    private void refute(Suspect suspect, List<CrashEvidence> refuted) {
        List<CrashEvidence> left = new ArrayList<>(suspect.crashEvidence());
        left.removeAll(refuted);
        if (left.isEmpty()) {
            state.remove(suspect.fingerprint());
        } else {
            state.put(suspect.withEvidenceOnly(left));
        }
    }

    /**
     * An unanswered attempt whose endpoint may have terminated.
     *
     * @param event The attempt.
     * @param since When its answer was lost, on the monotonic clock.
     * @param lostAt When its answer was lost, in milliseconds since the epoch.
     */
    private record UnansweredAttempt(QuarantineEvent.AnswerLost event, MonotonicTime since, long lostAt) {}
}
