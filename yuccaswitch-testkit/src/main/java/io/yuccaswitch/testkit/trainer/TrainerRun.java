package io.yuccaswitch.testkit.trainer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.Observation.GroupAccepted;
import io.yuccaswitch.testkit.check.Observation.SampleReceived;
import io.yuccaswitch.testkit.check.Observation.Segment;
import io.yuccaswitch.testkit.check.Observation.Slot;
import io.yuccaswitch.testkit.http.Json;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A training run, which submits groups, receives samples step by step, and publishes a version after each step. */
final class TrainerRun {

    /** The delay before refused groups are submitted again. */
    private static final long RESUBMIT_DELAY_MILLIS = 250;

    /** The options. */
    private final TrainerOptions options;

    /** The prompts. */
    private final List<String> prompts;

    /** The client that sends requests. */
    private final TrainerClient client;

    /** The receiver of records. */
    private final Consumer<Observation> recorder;

    /** The checks and counts of samples. */
    private final SampleStatistics statistics;

    /** The steps whose groups were submitted. */
    private final Set<Long> submitted = new HashSet<>();

    /** The state that survives a restart. */
    private TrainerState state;

    /** The number of records written so far. */
    private int records;

    /** The time in milliseconds spent waiting for samples. */
    private long idleMillis;

    /** The time in milliseconds spent training. */
    private long trainMillis;

    /**
     * Creates a new run.
     *
     * @param options The options.
     * @param prompts The prompts.
     * @param state The state from which to resume.
     * @param earlier The records that belong to the state.
     * @param recorder The receiver of further records.
     */
    TrainerRun(
            TrainerOptions options,
            List<String> prompts,
            TrainerState state,
            List<Observation> earlier,
            Consumer<Observation> recorder) {
        this.options = options;
        this.prompts = List.copyOf(prompts);
        this.state = state;
        this.recorder = recorder;
        client = new TrainerClient(options);
        statistics = new SampleStatistics(options.stalenessBound);
        records = earlier.size();
        for (Observation observation : earlier) {
            if (observation instanceof SampleReceived sample) {
                statistics.add(
                        sample,
                        sample.segments().stream().mapToInt(Segment::tokens).sum());
            }
        }
    }

    /**
     * Trains all steps.
     *
     * @return The report.
     * @throws InterruptedException If the thread is interrupted.
     */
    TrainerReport run() throws InterruptedException {
        publish(state.version());
        long first = state.step();
        while (state.step() < steps()) {
            long step = state.step();
            long startedAt = System.nanoTime();
            for (long ahead = step; ahead <= step + options.ahead && ahead < steps(); ahead++) {
                submit(ahead);
            }
            while (statistics.groups(step) < options.groups) {
                pull(step);
            }
            idleMillis += millisSince(startedAt);
            train(step);
            publish(state.version() + 1);
            state = state.withNextStep(state.version() + 1);
            save();
        }
        acknowledge();
        return statistics.report(options, state.step() - first, idleMillis, trainMillis, client);
    }

    /**
     * Returns the number of steps to train. If the training must end early, these are the steps already submitted.
     *
     * @return The number of steps.
     */
    private long steps() {
        if (options.finishFile == null || !Files.exists(options.finishFile)) {
            return options.steps;
        }
        long next = submitted.stream().mapToLong(step -> step + 1).max().orElse(0);
        return Math.min(options.steps, next);
    }

    /**
     * Publishes a version.
     *
     * @param version The version.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void publish(long version) throws InterruptedException {
        ObjectNode body = Json.object();
        body.put("version", version).put("location", options.trainer + "/" + version);
        client.post("versions", body);
    }

    /**
     * Submits the groups of a step until all are accepted.
     *
     * @param step The step.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void submit(long step) throws InterruptedException {
        if (!submitted.add(step)) {
            return;
        }
        Set<Integer> pending = new HashSet<>();
        for (int group = 0; group < options.groups; group++) {
            pending.add(group);
        }
        while (!pending.isEmpty()) {
            JsonNode answer = client.post("groups", submission(step, pending));
            for (JsonNode accepted : answer.path("accepted")) {
                int group = accepted.path("group").asInt();
                if (pending.remove(group)) {
                    record(new GroupAccepted(new Slot(options.trainer, step, group, 0), options.groupSize));
                }
            }
            if (!pending.isEmpty()) {
                Thread.sleep(RESUBMIT_DELAY_MILLIS);
            }
        }
        state = state.withRecords(records);
        save();
    }

    /**
     * Creates the body of a submission.
     *
     * @param step The step.
     * @param groups The numbers of the groups.
     * @return The body.
     */
    private ObjectNode submission(long step, Set<Integer> groups) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("groups");
        for (int group : groups) {
            int prompt = (int) ((step * options.groups + group) % prompts.size());
            list.addObject()
                    .put("step", step)
                    .put("group", group)
                    .put("prompt", prompts.get(prompt))
                    .put("size", options.groupSize)
                    .put("maximumTokens", options.maximumTokens);
        }
        return body;
    }

    /**
     * Acknowledges the last batch, so that the system does not need to retain it any longer.
     *
     * @throws InterruptedException If the thread is interrupted.
     */
    private void acknowledge() throws InterruptedException {
        if (state.cursor().isPresent()) {
            ObjectNode body = Json.object().put("cursor", state.cursor().get());
            body.put("useVersion", state.version()).put("step", state.step()).put("maximumGroups", 1);
            client.post("pull", body.put("waitMillis", 0));
        }
    }

    /**
     * Pulls once, and processes the delivered groups.
     *
     * @param step The step to pull for.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void pull(long step) throws InterruptedException {
        ObjectNode body = Json.object();
        state.cursor().ifPresent(cursor -> body.put("cursor", cursor));
        body.put("useVersion", state.version())
                .put("step", step)
                .put("maximumGroups", options.pullGroups)
                .put("waitMillis", options.waitMillis);
        JsonNode answer = client.post("pull", body);
        for (JsonNode group : answer.path("groups")) {
            receive(group);
        }
        state = state.withBatch(answer.path("cursor").asText(), records);
        save();
    }

    /**
     * Processes the samples of a group.
     *
     * @param group The group.
     */
    private void receive(JsonNode group) {
        for (JsonNode sample : group.path("samples")) {
            List<Segment> segments = new ArrayList<>();
            for (JsonNode segment : sample.path("segments")) {
                segments.add(new Segment(
                        segment.path("version").asLong(-1),
                        segment.path("tokens").asInt()));
            }
            Slot slot = new Slot(
                    options.trainer,
                    group.path("step").asLong(),
                    group.path("group").asLong(),
                    sample.path("index").asInt());
            SampleReceived received = new SampleReceived(
                    slot, state.version(), segments, sample.path("text").asText());
            statistics.add(received, sample.path("tokens").asInt());
            record(received);
        }
    }

    /**
     * Simulates the training of a step.
     *
     * @param step The step.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void train(long step) throws InterruptedException {
        System.err.println("trained step=" + step + " version=" + state.version() + " idleMillis=" + idleMillis);
        long startedAt = System.nanoTime();
        Thread.sleep(options.trainMillis);
        trainMillis += millisSince(startedAt);
    }

    /**
     * Records an observation.
     *
     * @param observation The observation.
     */
    private void record(Observation observation) {
        recorder.accept(observation);
        records++;
    }

    /** Writes the state, if a state file is configured. */
    private void save() {
        Optional.ofNullable(options.state).ifPresent(file -> state.write(file));
    }

    /**
     * Returns the time elapsed since a start time.
     *
     * @param startedAt The start time, in nanoseconds of the monotonic clock.
     * @return The time in milliseconds.
     */
    private static long millisSince(long startedAt) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }
}
