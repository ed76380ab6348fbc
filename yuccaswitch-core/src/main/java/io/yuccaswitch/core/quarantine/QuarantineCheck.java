package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Checks for a system of the core whether a request may be sent to an endpoint, and reports what became of it.
 * Fingerprints are computed only while any request is suspect.
 */
public final class QuarantineCheck {

    /** The quarantine, which holds the state of suspect requests. */
    private final Quarantine quarantine;

    /** The refused requests, so that each refusal is logged only once however often it is checked. */
    private final Set<RequestFingerprint> refused = new HashSet<>();

    /**
     * Creates a check.
     *
     * @param quarantine The quarantine, which holds the state of suspect requests.
     */
    public QuarantineCheck(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    /**
     * Returns the retry delay of a request that may not be sent to an endpoint now. A request whose hold time has
     * elapsed is let through once.
     *
     * @param tick The tick.
     * @param subject The request's identifier, for logs.
     * @param fingerprint Computes the fingerprint of the request.
     * @param working The endpoints that are eligible for the request.
     * @return The delay after which it may be retried, or empty if it may be sent now.
     */
    public Optional<Duration> refusal(
            Tick tick, String subject, Supplier<RequestFingerprint> fingerprint, Collection<EndpointName> working) {
        QuarantineView view = quarantine.view();
        if (view.isEmpty()) {
            refused.clear();
            return Optional.empty();
        }
        RequestFingerprint computed = fingerprint.get();
        Verdict verdict = view.verdict(computed, quarantine.epochMillis());
        if (verdict instanceof Verdict.Trial) {
            quarantine.report(tick, new QuarantineEvent.TrialBegun(computed));
            return Optional.empty();
        }
        Optional<Duration> retryDelay = retryDelay(view, computed, verdict, working);
        if (retryDelay.isEmpty()) {
            refused.remove(computed);
        } else if (refused.add(computed)) {
            tick.decide(Decision.of("quarantine", subject, "refused", "endpoints ended under it: " + computed));
        }
        return retryDelay;
    }

    /**
     * Returns whether a request may be sent to another endpoint, after an attempt or as a hedge.
     *
     * @param fingerprint Computes the fingerprint of the request.
     * @return {@code false} if it is limited to one attempt.
     */
    public boolean allowsRetry(Supplier<RequestFingerprint> fingerprint) {
        QuarantineView view = quarantine.view();
        return view.isEmpty()
                || view.verdict(fingerprint.get(), quarantine.epochMillis()).allowsRetry();
    }

    /**
     * Returns whether an endpoint may have terminated while it processed a request.
     *
     * @param fingerprint Computes the fingerprint of the request.
     * @return {@code true} if the request is recorded as suspect.
     */
    public boolean isSuspect(Supplier<RequestFingerprint> fingerprint) {
        QuarantineView view = quarantine.view();
        return !view.isEmpty() && view.find(fingerprint.get()).isPresent();
    }

    /**
     * Reports an attempt that returned no answer.
     *
     * @param tick The tick.
     * @param fingerprint Computes the fingerprint of the request.
     * @param description Describes the request for operators.
     * @param endpoint The endpoint.
     * @param loss Why no answer was returned.
     */
    public void recordLoss(
            Tick tick, Supplier<RequestFingerprint> fingerprint, String description, EndpointName endpoint, Loss loss) {
        if (loss.cause() != Loss.Cause.UNUSABLE) {
            quarantine.report(tick, new QuarantineEvent.AnswerLost(fingerprint.get(), description, endpoint, loss));
        }
    }

    /**
     * Reports an attempt of accepted work, such as an item of a batch job, that returned no answer. No evidence is
     * recorded, as accepted work is owed however many endpoints terminate, but other requests at the endpoint need to
     * know that it terminated.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param loss Why no answer was returned.
     */
    public void recordEnd(Tick tick, EndpointName endpoint, Loss loss) {
        if (loss.cause() == Loss.Cause.ENDPOINT_ENDED) {
            quarantine.report(tick, new QuarantineEvent.EndpointLost(endpoint));
        }
    }

    /**
     * Returns whether at most one endpoint is left that has not terminated recently.
     *
     * @param working The endpoints that the registry lists.
     * @return {@code true} if one endpoint or none is left.
     */
    public boolean isLast(Collection<EndpointName> working) {
        return LastEndpoint.isLast(working, quarantine.view().ended());
    }

    /**
     * Reports that a request was answered with success.
     *
     * @param tick The tick.
     * @param fingerprint Computes the fingerprint of the request.
     * @param first Whether this was its first attempt. Success at the first attempt is reported only while any request
     *     is suspect.
     */
    public void recordSuccess(Tick tick, Supplier<RequestFingerprint> fingerprint, boolean first) {
        if (!first || !quarantine.view().isEmpty()) {
            quarantine.report(tick, new QuarantineEvent.Served(fingerprint.get()));
        }
    }

    /**
     * Returns the delay after which a request may be retried.
     *
     * @param view The state of suspect requests.
     * @param computed The fingerprint of the request.
     * @param verdict The verdict on it.
     * @param working The endpoints that are eligible for the request.
     * @return The delay, or empty if the request may be sent now.
     */
    private Optional<Duration> retryDelay(
            QuarantineView view, RequestFingerprint computed, Verdict verdict, Collection<EndpointName> working) {
        if (verdict instanceof Verdict.Refuse refuse) {
            return Optional.of(refuse.retryDelay());
        }
        boolean protectsLast = verdict instanceof Verdict.Restrain
                && view.protectsLastEndpoint(computed, working, quarantine.epochMillis());
        return protectsLast ? Optional.of(LastEndpoint.RETRY_DELAY) : Optional.empty();
    }
}
