package io.yuccaswitch.node.entry;

import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.reactivex.rxjava3.subjects.ReplaySubject;
import io.reactivex.rxjava3.subjects.Subject;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The callers that wait for outcomes, by the identifiers of their requests. Several callers may wait for the same
 * request, which is cancelled when the last of them disconnects. An identifier belongs to one request until the core
 * has finished this request, so that an outcome never reaches the caller of another request.
 */
final class WaitingCallers {

    /** The loop of the decision core, which receives the requests. */
    private final DecisionLoop loop;

    /** The waiting callers, guarded by this instance. */
    private final Map<RequestId, Entry> entries = new HashMap<>();

    /** The subscriptions to the loop. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a registry that is subscribed to the effects of the loop.
     *
     * @param loop The loop of the decision core, which receives the requests.
     */
    WaitingCallers(DecisionLoop loop) {
        this.loop = loop;
        subscriptions.add(loop.effects(RequestEffect.Conclude.class).subscribe(this::publishOutcome));
        subscriptions.add(loop.effects(RequestEffect.Stream.class).subscribe(this::publishProgress));
    }

    /**
     * Submits a request to the core and returns its progress and outcome. A subscriber that cancels has disconnected.
     *
     * @param request The request.
     * @return The progress, of which only the latest signal is buffered, and then the outcome.
     */
    Flowable<Signal> submit(Request request) {
        Subject<Signal> signals = ReplaySubject.createWithSize(1);
        synchronized (this) {
            Entry entry = entries.computeIfAbsent(request.id(), _id -> new Entry(request.fingerprint()));
            if (entry.fingerprint != request.fingerprint()) {
                return Flowable.just(new Signal.Concluded(new Outcome.NotRun(
                        "request-id-reused",
                        "The id was already used for a different request.",
                        java.util.Optional.empty())));
            }
            entry.waiting.add(signals);
            loop.accept(new RequestEvent.Arrived(request));
        }
        return signals.toFlowable(BackpressureStrategy.LATEST).doOnCancel(() -> removeCaller(request.id(), signals));
    }

    /**
     * Removes a caller that has disconnected, and cancels the request if no other caller waits for it.
     *
     * @param id The identifier of the request.
     * @param signals The signals to which the caller was subscribed.
     */
    private synchronized void removeCaller(RequestId id, Subject<Signal> signals) {
        Entry entry = entries.get(id);
        if (entry == null || !entry.waiting.remove(signals) || !entry.waiting.isEmpty()) {
            return;
        }
        loop.accept(new RequestEvent.Cancelled(id));
        Completable.fromCompletionStage(loop.inspect(() -> removeIfUnused(id))).subscribe(CompletableSubject.create());
    }

    /**
     * Removes an identifier once the core has processed the cancellation, unless a caller waits again.
     *
     * @param id The identifier of the request.
     * @return {@code true} if the identifier was removed.
     */
    private synchronized boolean removeIfUnused(RequestId id) {
        Entry entry = entries.get(id);
        return entry != null && entry.waiting.isEmpty() && entries.remove(id, entry);
    }

    /**
     * Publishes an outcome to the waiting callers.
     *
     * @param effect The effect.
     */
    private void publishOutcome(RequestEffect.Conclude effect) {
        Entry entry;
        synchronized (this) {
            entry = entries.remove(effect.id());
        }
        if (entry != null) {
            entry.waiting.forEach(signals -> {
                signals.onNext(new Signal.Concluded(effect.outcome()));
                signals.onComplete();
            });
        }
    }

    /**
     * Publishes progress to the waiting callers.
     *
     * @param effect The effect.
     */
    private void publishProgress(RequestEffect.Stream effect) {
        List<Subject<Signal>> waiting;
        synchronized (this) {
            Entry entry = entries.get(effect.id());
            waiting = entry == null ? List.of() : List.copyOf(entry.waiting);
        }
        waiting.forEach(signals -> signals.onNext(new Signal.Progressed(effect.generated())));
    }

    /** A signal to a waiting caller. */
    sealed interface Signal {

        /**
         * A part of the answer is available.
         *
         * @param generated The complete generation so far.
         */
        record Progressed(Generation generated) implements Signal {}

        /**
         * The outcome is available.
         *
         * @param outcome The outcome.
         */
        record Concluded(Outcome outcome) implements Signal {}
    }

    /** The callers that wait for one request. */
    private static final class Entry {

        /** The fingerprint of the request. */
        private final long fingerprint;

        /** The signals to which the callers are subscribed. */
        private final List<Subject<Signal>> waiting = new ArrayList<>();

        /**
         * Creates an entry without callers.
         *
         * @param fingerprint The fingerprint of the request.
         */
        Entry(long fingerprint) {
            this.fingerprint = fingerprint;
        }
    }
}
