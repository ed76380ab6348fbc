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
 * Asks on behalf of a system of the core whether a request may go to an endpoint, and tells what became of it.
 * Fingerprints are computed only once something is known of any request.
 */
public final class QuarantineCheck {

    /** What is known of requests. */
    private final Quarantine quarantine;

    /** The requests that were refused, such that this is logged once for each, however often it is asked. */
    private final Set<RequestFingerprint> refused = new HashSet<>();

    /**
     * Creates a check.
     *
     * @param quarantine What is known of requests.
     */
    public QuarantineCheck(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    /**
     * Returns why a request may not go to an endpoint now, if it may not. One that was held until now is let through
     * once.
     *
     * @param tick The tick.
     * @param subject The request's identifier, for logs.
     * @param fingerprint Computes what recognises the request.
     * @param working The endpoints that may get it.
     * @return The time after which it may go on, or empty if it may do so now.
     */
    public Optional<Duration> refusal(
            Tick tick, String subject, Supplier<RequestFingerprint> fingerprint, Collection<EndpointName> working) {
        QuarantineView view = quarantine.view();
        if (view.isEmpty()) {
            refused.clear();
            return Optional.empty();
        }
        RequestFingerprint known = fingerprint.get();
        Verdict verdict = view.verdict(known, quarantine.epochMillis());
        if (verdict instanceof Verdict.Try) {
            quarantine.report(tick, new QuarantineEvent.TrialBegun(known));
            return Optional.empty();
        }
        Optional<Duration> comeBack = comeBack(view, known, verdict, working);
        if (comeBack.isEmpty()) {
            refused.remove(known);
        } else if (refused.add(known)) {
            tick.decide(Decision.of("quarantine", subject, "refused", "endpoints ended under it: " + known));
        }
        return comeBack;
    }

    /**
     * Returns whether a request may go on to another endpoint, after or beside an attempt.
     *
     * @param fingerprint Computes what recognises the request.
     * @return {@code false} if it gets one attempt at most.
     */
    public boolean allowsRetry(Supplier<RequestFingerprint> fingerprint) {
        QuarantineView view = quarantine.view();
        return view.isEmpty()
                || view.verdict(fingerprint.get(), quarantine.epochMillis()).allowsRetry();
    }

    /**
     * Returns whether an endpoint may have ended under a request.
     *
     * @param fingerprint Computes what recognises the request.
     * @return {@code true} if something is known of it.
     */
    public boolean isInDoubt(Supplier<RequestFingerprint> fingerprint) {
        QuarantineView view = quarantine.view();
        return !view.isEmpty() && view.find(fingerprint.get()).isPresent();
    }

    /**
     * Takes an attempt that brought no answer.
     *
     * @param tick The tick.
     * @param fingerprint Computes what recognises the request.
     * @param description Describes it for operators.
     * @param endpoint The endpoint.
     * @param loss What the loss says of the endpoint.
     */
    public void lose(
            Tick tick, Supplier<RequestFingerprint> fingerprint, String description, EndpointName endpoint, Loss loss) {
        if (loss.cause() != Loss.Cause.UNUSABLE) {
            quarantine.report(tick, new QuarantineEvent.AnswerLost(fingerprint.get(), description, endpoint, loss));
        }
    }

    /**
     * Takes that a request was answered with success.
     *
     * @param tick The tick.
     * @param fingerprint Computes what recognises the request.
     * @param first Whether this was its first attempt, of which nothing is known unless it is of the request.
     */
    public void serve(Tick tick, Supplier<RequestFingerprint> fingerprint, boolean first) {
        if (!first || !quarantine.view().isEmpty()) {
            quarantine.report(tick, new QuarantineEvent.Served(fingerprint.get()));
        }
    }

    /**
     * Returns when a request may come back.
     *
     * @param view What is known.
     * @param known The request.
     * @param verdict The verdict on it.
     * @param working The endpoints that may get it.
     * @return The time, or empty if it need not go.
     */
    private Optional<Duration> comeBack(
            QuarantineView view, RequestFingerprint known, Verdict verdict, Collection<EndpointName> working) {
        if (verdict instanceof Verdict.Refuse refuse) {
            return Optional.of(refuse.comeBack());
        }
        boolean spares =
                verdict instanceof Verdict.Restrain && view.sparesLast(known, working, quarantine.epochMillis());
        return spares ? Optional.of(LastEndpoint.COME_BACK) : Optional.empty();
    }
}
