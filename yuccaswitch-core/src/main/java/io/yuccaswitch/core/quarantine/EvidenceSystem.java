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
 * Finds out under which requests endpoints ended, from attempts without an answer and from what becomes of endpoints.
 */
final class EvidenceSystem implements DecisionSystem {

    /**
     * How long an attempt without an answer is remembered while its endpoint may be found to have ended. The registry
     * drops a silent endpoint after three of its heartbeats, and within a second more this node knows.
     */
    private static final Duration OPEN_TIME = Duration.ofSeconds(6);

    /** The largest number of such attempts, far above those of a node whose endpoints all hang. */
    private static final int MAXIMUM_OPEN = 1024;

    /**
     * How long an endpoint that was found to have ended may still be named by the registry. One that is named after
     * that lives, and was only out of this node's reach.
     */
    private static final Duration REFUTED_AFTER = Duration.ofSeconds(8);

    /** The interval at which requests are forgotten and ends refuted. */
    private static final Duration TIDYING_INTERVAL = Duration.ofSeconds(1);

    /** What the systems share. */
    private final QuarantineState state;

    /** What the registry knows of endpoints. */
    private final EndpointStandings standings;

    /** The attempts without an answer whose endpoints may have ended, the oldest first. */
    private final Deque<Open> open = new ArrayDeque<>();

    /** When requests are next forgotten. */
    private MonotonicTime tidyAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a system.
     *
     * @param state What the systems share.
     * @param standings What the registry knows of endpoints.
     */
    EvidenceSystem(QuarantineState state, EndpointStandings standings) {
        this.state = state;
        this.standings = standings;
    }

    @Override
    public void run(Tick tick) {
        for (QuarantineEvent event : tick.events(QuarantineEvent.class)) {
            take(tick, event);
        }
        settle(tick);
        if (!tick.now().isBefore(tidyAt)) {
            tidyAt = tick.now().plus(TIDYING_INTERVAL);
            tidy();
            state.forgetEnded(tick.now());
        }
    }

    /**
     * Takes what happened.
     *
     * @param tick The tick.
     * @param event What happened.
     */
    void take(Tick tick, QuarantineEvent event) {
        if (event instanceof QuarantineEvent.AnswerLost lost) {
            lose(tick, lost);
        } else if (event instanceof QuarantineEvent.EndpointEnded ended) {
            state.noteEnded(ended.endpoint(), tick.now());
        } else if (event instanceof QuarantineEvent.Served served) {
            open.removeIf(attempt -> attempt.event().fingerprint().equals(served.fingerprint()));
            state.clear(tick, served.fingerprint(), "an endpoint answered it");
        } else if (event instanceof QuarantineEvent.Released released) {
            state.clear(tick, released.fingerprint(), "let go by an operator");
        } else if (event instanceof QuarantineEvent.TrialBegun trial) {
            beginTrial(tick, trial.fingerprint());
        }
    }

    /**
     * Takes an attempt without an answer.
     *
     * @param tick The tick.
     * @param lost The attempt.
     */
    private void lose(Tick tick, QuarantineEvent.AnswerLost lost) {
        if (lost.loss().cause() == Loss.Cause.ENDPOINT_ENDED) {
            if (state.noteEnded(lost.endpoint(), tick.now())) {
                state.untoldEnds().add(lost.endpoint());
            }
            strike(tick, lost, state.epochMillis());
            return;
        }
        if (lost.loss().cause() == Loss.Cause.UNUSABLE) {
            return;
        }
        if (open.size() >= MAXIMUM_OPEN) {
            open.removeFirst();
        }
        open.addLast(new Open(lost, tick.now(), state.epochMillis()));
    }

    /**
     * Settles attempts whose endpoints are known to have ended, and drops those that are too old.
     *
     * @param tick The tick.
     */
    private void settle(Tick tick) {
        List<Open> settled = new ArrayList<>();
        for (Open attempt : open) {
            EndpointName endpoint = attempt.event().endpoint();
            if (state.isEnded(endpoint) || standings.of(endpoint) == EndpointStandings.Standing.GONE) {
                settled.add(attempt);
                strike(tick, attempt.event(), attempt.lostAt());
            } else if (tick.now().since(attempt.since()).compareTo(OPEN_TIME) > 0) {
                settled.add(attempt);
            }
        }
        open.removeAll(settled);
    }

    /**
     * Takes that an endpoint ended under a request, unless it was about to stop anyway.
     *
     * @param tick The tick.
     * @param lost The attempt without an answer.
     * @param lostAt When its answer was lost, in milliseconds since the epoch. What has cleared the request since then
     *     counts for this end too, however late it became known.
     */
    private void strike(Tick tick, QuarantineEvent.AnswerLost lost, long lostAt) {
        if (standings.of(lost.endpoint()) == EndpointStandings.Standing.LEAVING) {
            return;
        }
        Strike strike = new Strike(lost.endpoint(), lostAt, lost.loss().lived());
        Suspect known = state.suspects()
                .find(lost.fingerprint())
                .orElseGet(() -> new Suspect(lost.fingerprint(), lost.description()));
        Suspect struck = known.withStrike(strike);
        state.learn(struck);
        tick.decide(Decision.of(
                "quarantine",
                lost.fingerprint().toString(),
                strike.certain() ? "endpoint ended" : "endpoint may have ended",
                lost.description() + " at " + lost.endpoint() + ", " + struck.count() + " so far"));
    }

    /**
     * Takes that a request that was held is let through.
     *
     * @param tick The tick.
     * @param fingerprint The request.
     */
    private void beginTrial(Tick tick, RequestFingerprint fingerprint) {
        state.suspects().find(fingerprint).ifPresent(suspect -> {
            state.learn(suspect.withTrial(state.epochMillis()));
            tick.decide(Decision.of("quarantine", fingerprint.toString(), "tried", "its time is up"));
        });
    }

    /** Forgets requests that have been quiet for long, and strikes of endpoints that turned out to live. */
    private void tidy() {
        long now = state.epochMillis();
        for (Suspect suspect : state.suspects().rows()) {
            List<Strike> refuted = suspect.strikes().stream()
                    .filter(strike -> isRefuted(strike, now))
                    .toList();
            if (!refuted.isEmpty()) {
                refute(suspect, refuted);
            } else if (QuarantinePolicy.isForgotten(suspect, now)) {
                state.forget(suspect.fingerprint());
            }
        }
    }

    /**
     * Returns whether an endpoint that was found to have ended lives.
     *
     * @param strike The endpoint.
     * @param now The present in milliseconds since the epoch.
     * @return {@code true} if the registry still names it.
     */
    private boolean isRefuted(Strike strike, long now) {
        return now - strike.at() >= REFUTED_AFTER.toMillis()
                && standings.of(strike.endpoint()) == EndpointStandings.Standing.WORKING;
    }

    /**
     * Drops strikes of endpoints that live. All nodes do so by themselves, so nothing is told.
     *
     * @param suspect The request.
     * @param refuted The strikes.
     */
    private void refute(Suspect suspect, List<Strike> refuted) {
        List<Strike> left = new ArrayList<>(suspect.strikes());
        left.removeAll(refuted);
        if (left.isEmpty()) {
            state.forget(suspect.fingerprint());
        } else {
            state.put(suspect.withStrikes(left));
        }
    }

    /**
     * An attempt without an answer whose endpoint may have ended.
     *
     * @param event The attempt.
     * @param since When its answer was lost.
     * @param lostAt When its answer was lost, in milliseconds since the epoch.
     */
    private record Open(QuarantineEvent.AnswerLost event, MonotonicTime since, long lostAt) {}
}
