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
 * The callers that wait for outcomes, by the identifiers of their requests. Several may wait for the same request; the
 * core is told that the caller went away when the last one did. An identifier belongs to one request until the core is
 * done with it, such that an outcome never reaches the caller of another request.
 */
final class WaitingCallers {

    /** The loop that takes the requests. */
    private final DecisionLoop loop;

    /** The waiting callers, guarded by this instance. */
    private final Map<RequestId, Entry> entries = new HashMap<>();

    /** The subscriptions to the loop. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a registry that listens to the loop.
     *
     * @param loop The loop that takes the requests.
     */
    WaitingCallers(DecisionLoop loop) {
        this.loop = loop;
        subscriptions.add(loop.effects(RequestEffect.Conclude.class).subscribe(this::conclude));
        subscriptions.add(loop.effects(RequestEffect.Stream.class).subscribe(this::stream));
    }

    /**
     * Hands a request to the core and returns what becomes of it. A subscriber that disposes went away.
     *
     * @param request The request.
     * @return The progress, of which the latest part is kept, and then the outcome.
     */
    Flowable<Signal> submit(Request request) {
        Subject<Signal> signals = ReplaySubject.createWithSize(1);
        synchronized (this) {
            Entry entry = entries.computeIfAbsent(request.id(), _id -> new Entry(request.fingerprint()));
            if (entry.fingerprint != request.fingerprint()) {
                return Flowable.just(new Signal.Concluded(new Outcome.NotRun(
                        "request-id-reused", "The id was used for another request.", java.util.Optional.empty())));
            }
            entry.waiting.add(signals);
            loop.accept(new RequestEvent.Arrived(request));
        }
        return signals.toFlowable(BackpressureStrategy.LATEST).doOnCancel(() -> leave(request.id(), signals));
    }

    /**
     * Tells a caller's going away.
     *
     * @param id The identifier of the request.
     * @param signals What the caller listened to.
     */
    private synchronized void leave(RequestId id, Subject<Signal> signals) {
        Entry entry = entries.get(id);
        if (entry == null || !entry.waiting.remove(signals) || !entry.waiting.isEmpty()) {
            return;
        }
        loop.accept(new RequestEvent.Cancelled(id));
        Completable.fromCompletionStage(loop.inspect(() -> forget(id))).subscribe(CompletableSubject.create());
    }

    /**
     * Forgets an identifier once the core has taken in that nobody waits any more.
     *
     * @param id The identifier of the request.
     * @return {@code true} if the identifier was forgotten.
     */
    private synchronized boolean forget(RequestId id) {
        Entry entry = entries.get(id);
        return entry != null && entry.waiting.isEmpty() && entries.remove(id, entry);
    }

    /**
     * Passes on an outcome.
     *
     * @param effect The effect.
     */
    private void conclude(RequestEffect.Conclude effect) {
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
     * Passes on progress.
     *
     * @param effect The effect.
     */
    private void stream(RequestEffect.Stream effect) {
        List<Subject<Signal>> waiting;
        synchronized (this) {
            Entry entry = entries.get(effect.id());
            waiting = entry == null ? List.of() : List.copyOf(entry.waiting);
        }
        waiting.forEach(signals -> signals.onNext(new Signal.Progressed(effect.generated())));
    }

    /** What a waiting caller learns. */
    sealed interface Signal {

        /**
         * A part of the answer is there.
         *
         * @param generated All that was generated so far.
         */
        record Progressed(Generation generated) implements Signal {}

        /**
         * The outcome is there.
         *
         * @param outcome The outcome.
         */
        record Concluded(Outcome outcome) implements Signal {}
    }

    /** The callers that wait for one request. */
    private static final class Entry {

        /** The fingerprint of the request. */
        private final long fingerprint;

        /** What the callers listen to. */
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
