package io.yuccaswitch.testkit.load;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * The kinds of requests of a load, with their shares.
 *
 * @param kinds The kinds of requests.
 */
public record LoadMix(List<Kind> kinds) {

    /** The mapper of mixes, which accepts comments. */
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    /** Copies the kinds and checks that there is at least one. */
    public LoadMix {
        kinds = List.copyOf(kinds);
        if (kinds.isEmpty()) {
            throw new IllegalArgumentException("A mix needs at least one kind of request");
        }
    }

    /**
     * Reads a mix.
     *
     * @param file The file, JSON with comments.
     * @return The mix.
     * @throws IOException If the file can't be read.
     */
    public static LoadMix read(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), LoadMix.class);
    }

    /**
     * Draws a kind with a probability in proportion to its share.
     *
     * @param random The source of randomness.
     * @return The kind.
     */
    public Kind draw(Random random) {
        double total = kinds.stream().mapToDouble(Kind::share).sum();
        double drawn = random.nextDouble() * total;
        for (Kind kind : kinds) {
            drawn -= kind.share();
            if (drawn < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    /** The target of a request. */
    public enum Target {
        /** A plain service. */
        SERVICE,
        /** A model engine, which completes a prompt. */
        COMPLETION
    }

    /**
     * A kind of request.
     *
     * @param name The name of the kind in the report.
     * @param share The weight of the kind relative to the other kinds.
     * @param target The target of the request.
     * @param pool The pool of the plain service, or the model.
     * @param path The path at the plain service, without a leading slash.
     * @param idempotent Whether the request is marked as idempotent.
     * @param streaming Whether the completion is streamed.
     * @param maximumTokens The maximum number of tokens of the completion.
     * @param priority The priority class, or {@code null} for the default.
     * @param timeoutMillis The timeout of an attempt in milliseconds.
     * @param attempts The maximum number of attempts for one request.
     */
    public record Kind(
            String name,
            double share,
            Target target,
            String pool,
            String path,
            boolean idempotent,
            boolean streaming,
            int maximumTokens,
            String priority,
            long timeoutMillis,
            int attempts) {

        /** The timeout of an attempt if the mix does not specify one. */
        private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

        /** Replaces missing values by defaults. */
        public Kind {
            timeoutMillis = timeoutMillis == 0 ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
            attempts = attempts == 0 ? 1 : attempts;
            maximumTokens = maximumTokens == 0 ? 1 : maximumTokens;
            path = path == null ? "" : path;
        }

        /**
         * Creates a kind of non-idempotent POST request to a plain service.
         *
         * @param pool The pool of the plain service.
         * @param path The path at the plain service.
         * @param timeoutMillis The timeout of an attempt in milliseconds.
         * @param attempts The maximum number of attempts for one request.
         * @return The kind.
         */
        public static Kind post(String pool, String path, long timeoutMillis, int attempts) {
            return new Kind("post", 1, Target.SERVICE, pool, path, false, false, 0, null, timeoutMillis, attempts);
        }

        /**
         * Creates a kind of completion request.
         *
         * @param model The model.
         * @param tokens The maximum number of tokens.
         * @param streaming Whether the completion is streamed.
         * @param timeoutMillis The timeout of an attempt in milliseconds.
         * @param attempts The maximum number of attempts for one request.
         * @return The kind.
         */
        public static Kind completion(String model, int tokens, boolean streaming, long timeoutMillis, int attempts) {
            String name = streaming ? "stream" : "completion";
            return new Kind(
                    name, 1, Target.COMPLETION, model, "", true, streaming, tokens, null, timeoutMillis, attempts);
        }

        /**
         * Returns the path of the request at the entry address.
         *
         * @return The path.
         */
        String entryPath() {
            return target == Target.SERVICE ? "/services/" + pool + "/" + path : "/v1/completions";
        }

        /** {@inheritDoc} */
        @Override
        public String toString() {
            return name + "/" + target.name().toLowerCase(Locale.ROOT);
        }
    }
}
