package io.yuccaswitch.core.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A request as it is represented in the decision core.
 *
 * @param id The identifier.
 * @param pool The pool whose endpoints may serve the request.
 * @param caller The caller, or the trainer's name for the generation of samples.
 * @param priority The priority class.
 * @param idempotent {@code true} if the request may run more than once.
 * @param streaming {@code true} if the answer is streamed to the caller while it is generated.
 * @param deadline The time by which the answer must be complete.
 * @param method The HTTP method that the endpoint is called with.
 * @param path The path and query that the endpoint is called with, beginning with a slash.
 * @param contentType The content type of the body, or an empty text.
 * @param body The body that is sent to the endpoint.
 * @param model The model or adapter that must be loaded at the endpoint, or empty if there is no such requirement.
 * @param minimumVersion The minimum weight version that must be loaded at the endpoint, or zero if any version is
 *     accepted.
 * @param prefixHashes The hashes of the prompt's prefixes, from the shortest to the longest.
 * @param promptTokens The estimated number of tokens of the prompt.
 * @param expectedTokens The estimated number of tokens to generate.
 */
public record Request(
        RequestId id,
        PoolName pool,
        CallerName caller,
        PriorityClass priority,
        boolean idempotent,
        boolean streaming,
        MonotonicTime deadline,
        String method,
        String path,
        String contentType,
        Bytes body,
        Optional<String> model,
        long minimumVersion,
        List<Long> prefixHashes,
        int promptTokens,
        int expectedTokens) {

    /** Copies the hashes. */
    public Request {
        prefixHashes = List.copyOf(prefixHashes);
    }

    /**
     * Returns this request with another deadline.
     *
     * @param changed The new deadline.
     * @return The changed request.
     */
    public Request withDeadline(MonotonicTime changed) {
        return new Request(
                id,
                pool,
                caller,
                priority,
                idempotent,
                streaming,
                changed,
                method,
                path,
                contentType,
                body,
                model,
                minimumVersion,
                prefixHashes,
                promptTokens,
                expectedTokens);
    }

    /**
     * Computes the fingerprint that identifies this request when its caller repeats it with another id.
     *
     * @return The fingerprint.
     */
    RequestFingerprint content() {
        return RequestFingerprint.of(caller.value(), pool.value(), method, path, body);
    }

    /**
     * Describes this request for operators, without its query and body.
     *
     * @return The caller, method, pool and path.
     */
    String describe() {
        int query = path.indexOf('?');
        return caller + " " + method + " " + pool + (query < 0 ? path : path.substring(0, query));
    }

    /**
     * Computes the fingerprint of this request, which distinguishes a repetition of this request from a different
     * request that has the same id by mistake.
     *
     * @return The fingerprint.
     */
    public long fingerprint() {
        Hasher hasher = Hashing.farmHashFingerprint64().newHasher();
        for (String text : new String[] {caller.value(), pool.value(), method, path, contentType}) {
            hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
        }
        return hasher.putBoolean(idempotent).putBytes(body.unsafeArray()).hash().asLong();
    }
}
