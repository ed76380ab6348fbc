package io.yuccaswitch.node.trainer;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The answers of the decision core for which HTTP requests wait, by their keys.
 *
 * @param <K> The type of the keys.
 * @param <A> The type of the answers.
 */
final class PendingAnswers<K, A> {

    /** The pending answers. */
    private final Map<K, SingleSubject<A>> waiting = new ConcurrentHashMap<>();

    /**
     * Waits for an answer. All subscribers with the same key receive the same answer.
     *
     * @param key The key.
     * @param timeout The time after which the wait fails.
     * @return The answer.
     */
    Single<A> await(K key, Duration timeout) {
        SingleSubject<A> subject = waiting.computeIfAbsent(key, _key -> SingleSubject.create());
        return subject.timeout(timeout.toNanos(), TimeUnit.NANOSECONDS).doFinally(() -> waiting.remove(key, subject));
    }

    /**
     * Completes a pending answer for all its subscribers.
     *
     * @param key The key.
     * @param answer The answer.
     */
    void answer(K key, A answer) {
        SingleSubject<A> subject = waiting.remove(key);
        if (subject != null) {
            subject.onSuccess(answer);
        }
    }
}
