package io.yuccaswitch.node.trainer;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The answers that HTTP requests wait for, by the key under which the decision core gives them.
 *
 * @param <K> The type of the keys.
 * @param <A> The type of the answers.
 */
final class PendingAnswers<K, A> {

    /** The answers that are waited for. */
    private final Map<K, SingleSubject<A>> waiting = new ConcurrentHashMap<>();

    /**
     * Waits for an answer. All that wait under the same key get the same answer.
     *
     * @param key The key.
     * @param timeout The time after which waiting fails.
     * @return The answer.
     */
    Single<A> await(K key, Duration timeout) {
        SingleSubject<A> subject = waiting.computeIfAbsent(key, _key -> SingleSubject.create());
        return subject.timeout(timeout.toNanos(), TimeUnit.NANOSECONDS).doFinally(() -> waiting.remove(key, subject));
    }

    /**
     * Gives an answer to all that wait for it.
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
