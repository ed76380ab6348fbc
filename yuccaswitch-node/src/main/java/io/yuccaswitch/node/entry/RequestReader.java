package io.yuccaswitch.node.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.endpoint.PrefixHashes;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;

/** Reads the requests of callers. */
final class RequestReader {

    /** The methods that are idempotent unless the caller specifies otherwise. */
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD");

    /** The status of an invalid request. */
    private static final int BAD_REQUEST = 400;

    /** The status of a request to an unknown pool or model. */
    private static final int NOT_FOUND = 404;

    /** The status of a request that is too large. */
    private static final int TOO_LARGE = 413;

    /** The approximate number of characters of a token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** The prefix of the paths that are forwarded to services. */
    private static final String SERVICES_PREFIX = "/services/";

    /** Supplies the current identity of this node, which is the home of the ids that it creates. */
    private final Supplier<NodeIdentity> self;

    /** The clock that computes the windows of request ids. */
    private final RequestClock clock;

    /**
     * Creates a new reader.
     *
     * @param self Supplies the current identity of this node.
     * @param clock The clock that computes the windows of request ids.
     */
    RequestReader(Supplier<NodeIdentity> self, RequestClock clock) {
        this.self = self;
        this.clock = clock;
    }

    /**
     * Reads a request for a generation.
     *
     * @param context The request.
     * @param configuration The active configuration.
     * @return The request.
     */
    Request generation(Context context, FleetConfiguration configuration) {
        AuthenticatedCaller caller = CallerAuthentication.authenticate(context, configuration);
        byte[] body = body(context, configuration);
        ObjectNode document = EntryJson.read(body);
        Target target = target(document.path("model").asText(""), configuration);
        String prompt = prompt(document);
        EntryHeaders headers = EntryHeaders.of(context);
        return new Request(
                headers.id().orElseGet(this::newId),
                target.pool(),
                caller.name(),
                caller.limited(headers.priority()),
                headers.idempotent().orElse(true),
                document.path("stream").asBoolean(false),
                deadline(headers, target.settings()),
                "POST",
                context.path(),
                "application/json",
                Bytes.wrap(body),
                target.model(),
                0,
                PrefixHashes.of(prompt),
                prompt.length() / CHARACTERS_PER_TOKEN,
                0);
    }

    /**
     * Reads a request that is forwarded to a service.
     *
     * @param context The request.
     * @param configuration The active configuration.
     * @return The request.
     */
    Request service(Context context, FleetConfiguration configuration) {
        AuthenticatedCaller caller = CallerAuthentication.authenticate(context, configuration);
        String name = context.pathParam("pool");
        PoolSettings settings = configuration.pools().entrySet().stream()
                .filter(entry ->
                        entry.getKey().value().equals(name) && entry.getValue().kind() == PoolKind.SERVICE)
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseThrow(() -> new EntryException(NOT_FOUND, "unknown-pool", "No such pool of services."));
        EntryHeaders headers = EntryHeaders.of(context);
        String method = context.method().name();
        return new Request(
                headers.id().orElseGet(this::newId),
                new PoolName(name),
                caller.name(),
                caller.limited(headers.priority()),
                headers.idempotent().orElseGet(() -> IDEMPOTENT_METHODS.contains(method)),
                false,
                deadline(headers, settings),
                method,
                servicePath(context, name),
                Optional.ofNullable(context.contentType()).orElse(""),
                Bytes.wrap(body(context, configuration)),
                Optional.empty(),
                0,
                List.of(),
                0,
                0);
    }

    /**
     * Returns the path and query for the service in their original encoding.
     *
     * @param context The request.
     * @param pool The name of the pool.
     * @return The path and query.
     */
    private static String servicePath(Context context, String pool) {
        String raw = context.req().getRequestURI();
        String path = raw.substring(Math.min(raw.length(), SERVICES_PREFIX.length() + pool.length()));
        String query = context.queryString();
        return (path.startsWith("/") ? path : "/" + path) + (query == null ? "" : "?" + query);
    }

    /**
     * Creates an id whose home is this node.
     *
     * @return The id.
     */
    private RequestId newId() {
        return new RequestId(clock.prefix(self.get(), DecisionLoop.now()) + UUID.randomUUID());
    }

    /**
     * Computes the deadline of a request.
     *
     * @param headers The headers of the request.
     * @param settings The settings of the pool.
     * @return The deadline.
     */
    private static MonotonicTime deadline(EntryHeaders headers, PoolSettings settings) {
        return DecisionLoop.now()
                .plus(headers.timeLeft().orElseGet(() -> settings.limits().defaultDeadline()));
    }

    /**
     * Reads the body of a request up to the maximum size.
     *
     * @param context The request.
     * @param configuration The active configuration.
     * @return The body.
     */
    private static byte[] body(Context context, FleetConfiguration configuration) {
        int maximum = configuration.entry().maximumBodyBytes();
        try (InputStream input = context.bodyInputStream()) {
            byte[] body = input.readNBytes(maximum + 1);
            if (body.length > maximum) {
                throw new EntryException(TOO_LARGE, "body-too-large", "The body exceeds " + maximum + " bytes.");
            }
            return body;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Finds the pool that serves a model: the pool of the trainer of this model, or else the pool of the same name.
     *
     * @param model The name of the model.
     * @param configuration The active configuration.
     * @return The pool.
     */
    private static Target target(String model, FleetConfiguration configuration) {
        Optional<PoolName> byTrainer = configuration.trainers().values().stream()
                .filter(trainer -> trainer.model().equals(model))
                .map(TrainerSettings::pool)
                .min(PoolName::compareTo);
        Optional<PoolName> pool = byTrainer.or(() -> configuration.pools().keySet().stream()
                .filter(name -> name.value().equals(model))
                .findFirst());
        Optional<PoolSettings> settings =
                pool.map(configuration.pools()::get).filter(found -> found.kind() == PoolKind.ENGINE);
        if (settings.isEmpty()) {
            throw new EntryException(NOT_FOUND, "unknown-model", "No pool of engines serves the model.");
        }
        return new Target(pool.orElseThrow(), settings.get(), byTrainer.map(_pool -> model));
    }

    /**
     * Reads the prompt. The messages of a chat are joined in the format of which engines hash the prefixes.
     *
     * @param document The body.
     * @return The prompt.
     */
    private static String prompt(ObjectNode document) {
        JsonNode messages = document.path("messages");
        if (!messages.isArray()) {
            JsonNode prompt = document.path("prompt");
            if (!prompt.isTextual()) {
                throw new EntryException(BAD_REQUEST, "invalid-body", "The body needs a prompt or messages.");
            }
            return prompt.asText();
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(message.path("role").asText())
                    .append(": ")
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return prompt.toString();
    }

    /**
     * The pool that serves a model.
     *
     * @param pool The name of the pool.
     * @param settings The settings of the pool.
     * @param model The model that must be loaded, or empty if any model is accepted.
     */
    private record Target(PoolName pool, PoolSettings settings, Optional<String> model) {}
}
