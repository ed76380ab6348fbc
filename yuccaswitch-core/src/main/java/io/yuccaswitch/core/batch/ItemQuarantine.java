package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.quarantine.Quarantine;
import io.yuccaswitch.core.quarantine.QuarantineEvent;
import io.yuccaswitch.core.quarantine.QuarantineView;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.quarantine.Verdict;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Keeps items and scoring requests under which endpoints ended away from further ones. An item that is held waits: its
 * result may come only when its time is up, and it goes on if it is let go before.
 */
final class ItemQuarantine {

    /** What is known of requests. */
    private final Quarantine quarantine;

    /** The items that wait as they are held, such that this is logged once for each. */
    private final Set<RequestFingerprint> waiting = new HashSet<>();

    /**
     * Creates a check.
     *
     * @param quarantine What is known of requests.
     */
    ItemQuarantine(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    /**
     * Returns whether an attempt may begin. If the request was held until now, it is let through once.
     *
     * @param tick The tick.
     * @param subject The item's identifier, for logs.
     * @param fingerprint Computes what recognises the request, which is asked only if something is known of any.
     * @param working The endpoints that may get it.
     * @return {@code true} if it may.
     */
    boolean allows(
            Tick tick,
            String subject,
            Supplier<RequestFingerprint> fingerprint,
            Collection<RegisteredEndpoint> working) {
        QuarantineView view = quarantine.view();
        if (view.isEmpty()) {
            waiting.clear();
            return true;
        }
        RequestFingerprint known = fingerprint.get();
        Verdict verdict = view.verdict(known, quarantine.epochMillis());
        if (verdict instanceof Verdict.Try) {
            quarantine.report(tick, new QuarantineEvent.TrialBegun(known));
            return true;
        }
        List<EndpointName> names =
                working.stream().map(RegisteredEndpoint::name).toList();
        boolean held = verdict instanceof Verdict.Refuse
                || (verdict instanceof Verdict.Restrain && view.sparesLast(known, names, quarantine.epochMillis()));
        if (!held) {
            waiting.remove(known);
        } else if (waiting.add(known)) {
            tick.decide(Decision.of("batch-item", subject, "held", "endpoints ended under it: " + known));
        }
        return !held;
    }

    /**
     * Returns whether a second attempt may be made beside one in progress.
     *
     * @param fingerprint Computes what recognises the request.
     * @return {@code false} if endpoints ended under it.
     */
    boolean allowsHedge(Supplier<RequestFingerprint> fingerprint) {
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
    boolean isInDoubt(Supplier<RequestFingerprint> fingerprint) {
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
    void lose(
            Tick tick, Supplier<RequestFingerprint> fingerprint, String description, EndpointName endpoint, Loss loss) {
        if (loss.cause() != Loss.Cause.UNUSABLE) {
            quarantine.report(tick, new QuarantineEvent.AnswerLost(fingerprint.get(), description, endpoint, loss));
        }
    }

    /**
     * Takes that a request was answered, after an attempt of it brought no answer or if something is known of it.
     *
     * @param tick The tick.
     * @param fingerprint Computes what recognises the request.
     * @param lostBefore Whether an earlier attempt brought no answer.
     */
    void serve(Tick tick, Supplier<RequestFingerprint> fingerprint, boolean lostBefore) {
        if (lostBefore || !quarantine.view().isEmpty()) {
            quarantine.report(tick, new QuarantineEvent.Served(fingerprint.get()));
        }
    }
}
