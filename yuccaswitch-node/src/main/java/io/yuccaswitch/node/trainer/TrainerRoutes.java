package io.yuccaswitch.node.trainer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.hash.Hashing;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.sample.GroupSpecification;
import io.yuccaswitch.core.sample.PublicationEffect;
import io.yuccaswitch.core.sample.PullResult;
import io.yuccaswitch.core.sample.SampleEffect;
import io.yuccaswitch.core.sample.SampleEvent;
import io.yuccaswitch.core.weight.WeightEvent;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * The routes for trainers on the entry address: publications of weights, submissions of groups, and pulls. An instance
 * must be created before the loop starts, as it subscribes to the loop's effects, and registers its routes with the
 * server of the entry address.
 */
public final class TrainerRoutes implements AutoCloseable {

    /** The path of a trainer. */
    private static final String TRAINER_PATH = "/v1/trainers/{trainer}";

    /** The time after which a publication that is not safely stored fails. */
    private static final Duration PUBLICATION_TIMEOUT = Duration.ofSeconds(5);

    /** The time after which a submission without an answer fails. */
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(10);

    /** The time after which a pull fails, in addition to the time that it waits for groups. */
    private static final Duration PULL_TIMEOUT_MARGIN = Duration.ofSeconds(20);

    /** The time after which a trainer should retry a request that failed or got no answer. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** The maximum number of groups of a submission or a pull. */
    private static final int MAXIMUM_GROUPS = 4096;

    /** The maximum time that a pull may wait for groups. */
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;

    /** The status of a request without the trainer's token. */
    private static final int UNAUTHORIZED = 401;

    /** The status of a request for a trainer that is not configured. */
    private static final int NOT_FOUND = 404;

    /** The status of a publication whose version is not newer, and of a pull that can't succeed. */
    private static final int CONFLICT = 409;

    /** The status of a request that may succeed later. */
    private static final int UNAVAILABLE = 503;

    /** The header that carries the identifier of a request. */
    private static final String REQUEST_ID = "X-Request-Id";

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1000;

    /** The mapper of bodies. */
    private final ObjectMapper mapper = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** Supplies the active configuration. */
    private final Supplier<Optional<FleetConfiguration>> configuration;

    /** The latest token of a submission or pull. */
    private final AtomicLong latestToken = new AtomicLong();

    /** The submissions that wait for their answers. */
    private final PendingAnswers<Long, SampleEffect.AnswerSubmission> submissions = new PendingAnswers<>();

    /** The pulls that wait for their answers. */
    private final PendingAnswers<Long, PullResult> pulls = new PendingAnswers<>();

    /** The publications that wait for their answers. */
    private final PendingAnswers<PublicationKey, PublicationEffect> publications = new PendingAnswers<>();

    /** The subscriptions to the loop's effects. */
    private final CompositeDisposable subscriptions;

    /**
     * Creates new routes.
     *
     * @param loop The loop of the decision core, which receives the events and emits the answers.
     * @param configuration Supplies the active configuration, or empty before the first one.
     */
    public TrainerRoutes(DecisionLoop loop, Supplier<Optional<FleetConfiguration>> configuration) {
        this.loop = loop;
        this.configuration = configuration;
        subscriptions = new CompositeDisposable(
                loop.effects(SampleEffect.AnswerSubmission.class)
                        .observeOn(Schedulers.computation())
                        .subscribe(answer -> submissions.answer(answer.token(), answer)),
                loop.effects(SampleEffect.AnswerPull.class)
                        .observeOn(Schedulers.computation())
                        .subscribe(answer -> pulls.answer(answer.token(), answer.result())),
                loop.effects(PublicationEffect.class)
                        .observeOn(Schedulers.computation())
                        .subscribe(answer ->
                                publications.answer(new PublicationKey(answer.trainer(), answer.version()), answer)));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        subscriptions.dispose();
    }

    /**
     * Registers the routes.
     *
     * @param routes The routes of the server.
     */
    public void register(RoutesConfig routes) {
        routes.post(TRAINER_PATH + "/versions", this::publish);
        routes.post(TRAINER_PATH + "/groups", this::submit);
        routes.post(TRAINER_PATH + "/pull", this::pull);
        routes.exception(TrainerException.class, (exception, context) -> refuse(context, exception));
    }

    /**
     * Handles a publication of weights.
     *
     * @param context The request.
     */
    private void publish(Context context) {
        TrainerName trainer = authenticate(context);
        TrainerDocuments.Publication body = read(context, TrainerDocuments.Publication.class);
        if (body.version() < 0 || body.location() == null || body.location().isEmpty()) {
            throw TrainerException.badRequest("A publication needs a non-negative version and a location.");
        }
        Single<Object> answer = publications
                .await(new PublicationKey(trainer, body.version()), PUBLICATION_TIMEOUT)
                .map(result -> publicationAnswer(result, body));
        answerLater(context, answer);
        loop.accept(new WeightEvent.Published(trainer, body.version(), body.location()));
    }

    /**
     * Converts the result of a publication.
     *
     * @param result The result.
     * @param body The publication.
     * @return The body of the answer.
     */
    private static Object publicationAnswer(PublicationEffect result, TrainerDocuments.Publication body) {
        if (result instanceof PublicationEffect.Refused refused) {
            throw new TrainerException(
                    CONFLICT,
                    "version-not-newer",
                    "The newest version is " + refused.newestVersion() + ".",
                    "no",
                    Optional.empty());
        }
        return body;
    }

    /**
     * Handles a submission of groups.
     *
     * @param context The request.
     */
    private void submit(Context context) {
        TrainerName trainer = authenticate(context);
        List<GroupSpecification> groups = groups(trainer, read(context, TrainerDocuments.Submission.class));
        long token = latestToken.incrementAndGet();
        Single<Object> answer = submissions
                .await(token, SUBMISSION_TIMEOUT)
                .map(result -> new TrainerDocuments.SubmissionAnswer(
                        result.accepted().stream()
                                .map(TrainerDocuments.Identity::of)
                                .toList(),
                        result.refused().stream()
                                .map(TrainerDocuments.Refusal::of)
                                .toList()));
        answerLater(context, answer);
        loop.accept(new SampleEvent.Submitted(token, trainer, groups));
    }

    /**
     * Converts the groups of a submission.
     *
     * @param trainer The trainer.
     * @param body The submission.
     * @return The groups.
     */
    private static List<GroupSpecification> groups(TrainerName trainer, TrainerDocuments.Submission body) {
        if (body.groups() == null || body.groups().size() > MAXIMUM_GROUPS) {
            throw TrainerException.badRequest("A submission needs a list of at most " + MAXIMUM_GROUPS + " groups.");
        }
        try {
            return body.groups().stream()
                    .map(group -> group.toSpecification(trainer))
                    .toList();
        } catch (IllegalArgumentException | NullPointerException exception) {
            throw TrainerException.badRequest("A group is not valid: " + exception.getMessage());
        }
    }

    /**
     * Handles a pull.
     *
     * @param context The request.
     */
    private void pull(Context context) {
        TrainerName trainer = authenticate(context);
        TrainerDocuments.Pull body = read(context, TrainerDocuments.Pull.class);
        boolean valid = body.maximumGroups() >= 1
                && body.maximumGroups() <= MAXIMUM_GROUPS
                && body.waitMillis() >= 0
                && body.waitMillis() <= MAXIMUM_WAIT_MILLIS
                && body.useVersion() >= 0
                && body.step().orElse(0L) >= 0;
        if (!valid) {
            throw TrainerException.badRequest("A pull requests from 1 to " + MAXIMUM_GROUPS + " groups, waits at most "
                    + MAXIMUM_WAIT_MILLIS + " ms, and has no negative numbers.");
        }
        long token = latestToken.incrementAndGet();
        Duration waitTime = Duration.ofMillis(body.waitMillis());
        Single<Object> answer = pulls.await(token, waitTime.plus(PULL_TIMEOUT_MARGIN))
                .doOnError(_exception -> loop.accept(new SampleEvent.PullAbandoned(token)))
                .map(TrainerRoutes::pullAnswer);
        answerLater(context, answer);
        loop.accept(new SampleEvent.PullRequested(
                token,
                trainer,
                body.cursor(),
                body.useVersion(),
                body.step().map(OptionalLong::of).orElseGet(OptionalLong::empty),
                body.maximumGroups(),
                waitTime));
    }

    /**
     * Converts the result of a pull.
     *
     * @param result The result.
     * @return The body of the answer.
     */
    private static Object pullAnswer(PullResult result) {
        if (result instanceof PullResult.HandedOver batch) {
            return new TrainerDocuments.PullAnswer(
                    batch.cursor(),
                    batch.groups().stream()
                            .map(TrainerDocuments.FinishedGroupDocument::of)
                            .toList(),
                    batch.remaining());
        }
        PullResult.Refused refusal = (PullResult.Refused) result;
        int status = refusal.retryAfter().isPresent() ? UNAVAILABLE : CONFLICT;
        throw new TrainerException(status, refusal.code(), refusal.message(), "no", refusal.retryAfter());
    }

    /**
     * Finds the trainer of a request and checks its token.
     *
     * @param context The request.
     * @return The trainer.
     */
    private TrainerName authenticate(Context context) {
        FleetConfiguration current = configuration
                .get()
                .orElseThrow(() -> new TrainerException(
                        UNAVAILABLE, "not-ready", "The node is starting.", "no", Optional.of(RETRY_AFTER)));
        Optional<TrainerName> name = name(context.pathParam("trainer"));
        Optional<TrainerSettings> settings =
                name.map(trainer -> current.trainers().get(trainer));
        if (settings.isEmpty()) {
            throw new TrainerException(
                    NOT_FOUND, "trainer-unknown", "The trainer is not configured.", "no", Optional.empty());
        }
        String presented = Optional.ofNullable(context.header("Authorization")).orElse("");
        Optional<String> token = settings.get().token();
        if (token.isPresent() && !digest(presented).equals(digest("Bearer " + token.get()))) {
            throw new TrainerException(
                    UNAUTHORIZED, "unauthorized", "Present the trainer's token.", "no", Optional.empty());
        }
        return name.get();
    }

    /**
     * Parses the name of a trainer.
     *
     * @param text The text.
     * @return The name, or empty if the text is not a valid name.
     */
    private static Optional<TrainerName> name(String text) {
        try {
            return Optional.of(new TrainerName(text));
        } catch (IllegalArgumentException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Hashes a text, so that the duration of a comparison reveals nothing about the text.
     *
     * @param text The text.
     * @return The hash.
     */
    private static String digest(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /**
     * Reads the body of a request.
     *
     * @param context The request.
     * @param type The type of the body.
     * @param <T> The type of the body.
     * @return The body.
     */
    private <T> T read(Context context, Class<T> type) {
        try {
            T body = mapper.readValue(context.bodyAsBytes(), type);
            if (body == null) {
                throw TrainerException.badRequest("The body is empty.");
            }
            return body;
        } catch (IOException exception) {
            throw TrainerException.badRequest("The body can't be read: " + exception.getMessage());
        }
    }

    /**
     * Answers a request asynchronously once its answer is available.
     *
     * @param context The request.
     * @param answer The body of the answer.
     */
    private void answerLater(Context context, Single<Object> answer) {
        context.future(() -> answer.doOnSuccess(body -> write(context, body))
                .onErrorReturn(error -> {
                    refuse(context, refusal(error));
                    return error;
                })
                .toCompletionStage()
                .toCompletableFuture());
    }

    /**
     * Converts an error to a refusal.
     *
     * @param error The error.
     * @return The refusal.
     */
    private static TrainerException refusal(Throwable error) {
        if (error instanceof TrainerException exception) {
            return exception;
        }
        boolean timeout = error instanceof TimeoutException;
        return new TrainerException(
                UNAVAILABLE,
                timeout ? "no-answer" : "failed",
                timeout ? "There was no answer in time." : String.valueOf(error.getMessage()),
                "unknown",
                Optional.of(RETRY_AFTER));
    }

    /**
     * Refuses a request.
     *
     * @param context The request.
     * @param exception The refusal.
     */
    private void refuse(Context context, TrainerException exception) {
        context.status(exception.status());
        exception
                .retryAfterMillis()
                .ifPresent(millis -> context.header(
                        "Retry-After", Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
        String requestId = Optional.ofNullable(context.header(REQUEST_ID)).orElse("");
        write(context, new TrainerDocuments.ErrorAnswer(exception.document(), requestId));
    }

    /**
     * Writes an answer.
     *
     * @param context The request.
     * @param body The body of the answer.
     */
    private void write(Context context, Object body) {
        try {
            context.contentType("application/json").result(mapper.writeValueAsBytes(body));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("An answer can't be written", exception);
        }
    }

    /**
     * The key of a publication.
     *
     * @param trainer The trainer.
     * @param version The version.
     */
    private record PublicationKey(TrainerName trainer, long version) {}
}
