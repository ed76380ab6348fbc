package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The history of a request's attempts.
 *
 * @param attempts The number of attempts sent so far.
 * @param running The numbers of the attempts in progress.
 * @param tried The endpoints that were tried.
 * @param partial The partial generation that a later attempt can resume from, or empty.
 * @param maybeRan Whether an attempt may have run.
 * @param lastCode The code of the latest failure, or an empty text.
 */
record AttemptHistory(
        int attempts,
        Set<Integer> running,
        Set<EndpointName> tried,
        Optional<Generation> partial,
        boolean maybeRan,
        String lastCode) {

    /** The history of a request that was not sent yet. */
    static final AttemptHistory EMPTY = new AttemptHistory(0, Set.of(), Set.of(), Optional.empty(), false, "");

    /** Copies the sets. */
    AttemptHistory {
        running = Set.copyOf(running);
        tried = Set.copyOf(tried);
    }

    /**
     * Returns the history after an attempt was sent.
     *
     * @param number The number of the attempt.
     * @param endpoint The endpoint that it was sent to.
     * @return The changed history.
     */
    AttemptHistory afterSend(int number, EndpointName endpoint) {
        Set<Integer> numbers = new HashSet<>(running);
        numbers.add(number);
        Set<EndpointName> endpoints = new HashSet<>(tried);
        endpoints.add(endpoint);
        return new AttemptHistory(attempts + 1, numbers, endpoints, partial, maybeRan, lastCode);
    }

    /**
     * Returns the history after an attempt ended.
     *
     * @param number The number of the attempt.
     * @param ran Whether the attempt may have run.
     * @param code The code of its failure, or an empty text.
     * @return The changed history.
     */
    AttemptHistory afterEnd(int number, boolean ran, String code) {
        Set<Integer> numbers = new HashSet<>(running);
        numbers.remove(number);
        return new AttemptHistory(attempts, numbers, tried, partial, maybeRan || ran, code);
    }

    /**
     * Returns the history with a partial generation, unless the recorded one has at least as many tokens.
     *
     * @param generation The partial generation.
     * @return The changed history.
     */
    AttemptHistory withPartial(Generation generation) {
        if (partial.isPresent() && partial.get().tokens() >= generation.tokens()) {
            return this;
        }
        return new AttemptHistory(attempts, running, tried, Optional.of(generation), maybeRan, lastCode);
    }

    /**
     * Returns the number of tokens that were generated so far.
     *
     * @return The number of tokens.
     */
    int partialTokens() {
        return partial.map(Generation::tokens).orElse(0);
    }
}
