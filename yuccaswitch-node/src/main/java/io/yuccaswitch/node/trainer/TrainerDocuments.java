package io.yuccaswitch.node.trainer;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.sample.FinishedGroup;
import io.yuccaswitch.core.sample.GroupKey;
import io.yuccaswitch.core.sample.GroupSpecification;
import io.yuccaswitch.core.sample.Sample;
import io.yuccaswitch.core.sample.SampleEffect;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The bodies of trainers' requests and of their answers, as docs/ARCHITECTURE.md shows them. */
final class TrainerDocuments {

    /** The name of a group's priority if it has none. */
    private static final String DEFAULT_PRIORITY = "normal";

    /** This class has no instances. */
    private TrainerDocuments() {}

    /**
     * A publication of weights.
     *
     * @param version The version.
     * @param location The location of the weights in the weight store.
     */
    record Publication(long version, String location) {}

    /**
     * A submission of groups.
     *
     * @param groups The groups.
     */
    record Submission(List<Group> groups) {}

    /**
     * A group of a submission.
     *
     * @param step The step.
     * @param group The number of the group in its step.
     * @param prompt The prompt.
     * @param size The number of samples.
     * @param maximumTokens The maximum number of tokens of a sample.
     * @param priority The priority class, or empty for the normal one.
     */
    record Group(long step, int group, String prompt, int size, int maximumTokens, Optional<String> priority) {

        /**
         * Converts this group.
         *
         * @param trainer The trainer that submits it.
         * @return The group as an object of the decision core.
         */
        GroupSpecification toSpecification(TrainerName trainer) {
            String name = priority.orElse(DEFAULT_PRIORITY).toUpperCase(Locale.ROOT);
            return new GroupSpecification(
                    new GroupKey(trainer, step, group), prompt, size, maximumTokens, PriorityClass.valueOf(name));
        }
    }

    /**
     * A pull of finished groups.
     *
     * @param cursor The cursor, or empty if the trainer has none.
     * @param useVersion The weight version for which the trainer will use the samples.
     * @param step The only step to hand over, or empty for any.
     * @param maximumGroups The maximum number of groups.
     * @param waitMillis The milliseconds to wait for groups.
     */
    record Pull(Optional<String> cursor, long useVersion, Optional<Long> step, int maximumGroups, long waitMillis) {}

    /**
     * The identity of a group.
     *
     * @param step The step.
     * @param group The number of the group in its step.
     */
    record Identity(long step, int group) {

        /**
         * Converts an identity.
         *
         * @param key The key of the group in the decision core.
         * @return The identity.
         */
        static Identity of(GroupKey key) {
            return new Identity(key.step(), key.group());
        }
    }

    /**
     * A group that was refused.
     *
     * @param step The step.
     * @param group The number of the group in its step.
     * @param code The code of the reason.
     * @param ran {@code no} if no node accepted the group, or {@code unknown}.
     * @param retryAfterMillis The time after which a retry may succeed, or empty if a retry can't succeed.
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record Refusal(long step, int group, String code, String ran, Optional<Long> retryAfterMillis) {

        /**
         * Converts a refusal.
         *
         * @param refused The refusal as an object of the decision core.
         * @return The refusal.
         */
        static Refusal of(SampleEffect.RefusedGroup refused) {
            return new Refusal(
                    refused.key().step(),
                    refused.key().group(),
                    refused.code(),
                    refused.definitelyNotRun() ? "no" : "unknown",
                    refused.retryAfter().map(Duration::toMillis));
        }
    }

    /**
     * The answer to a submission.
     *
     * @param accepted The groups that were stored.
     * @param refused The groups that were refused.
     */
    record SubmissionAnswer(List<Identity> accepted, List<Refusal> refused) {}

    /**
     * The answer to a pull.
     *
     * @param cursor The cursor to present next.
     * @param groups The groups.
     * @param remaining The number of further groups that are ready.
     */
    record PullAnswer(String cursor, List<FinishedGroupDocument> groups, int remaining) {}

    /**
     * A finished group.
     *
     * @param step The step.
     * @param group The number of the group in its step.
     * @param samples The samples.
     */
    record FinishedGroupDocument(long step, int group, List<SampleDocument> samples) {

        /**
         * Converts a group.
         *
         * @param group The group as an object of the decision core.
         * @return The group.
         */
        static FinishedGroupDocument of(FinishedGroup group) {
            return new FinishedGroupDocument(
                    group.key().step(),
                    group.key().group(),
                    group.samples().stream().map(SampleDocument::of).toList());
        }
    }

    /**
     * A sample.
     *
     * @param index The index in the group.
     * @param text The generated text.
     * @param tokens The number of tokens.
     * @param segments The segments with the versions that produced them.
     * @param score The score, or empty if the trainer has no scorer.
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record SampleDocument(int index, String text, int tokens, List<SegmentDocument> segments, Optional<Double> score) {

        /**
         * Converts a sample.
         *
         * @param sample The sample as an object of the decision core.
         * @return The sample.
         */
        static SampleDocument of(Sample sample) {
            return new SampleDocument(
                    sample.index(),
                    sample.text(),
                    sample.tokens(),
                    sample.segments().stream()
                            .map(segment -> new SegmentDocument(segment.version(), segment.tokens()))
                            .toList(),
                    sample.scored() ? Optional.of(sample.score()) : Optional.empty());
        }
    }

    /**
     * A segment of tokens.
     *
     * @param version The weight version that produced it.
     * @param tokens The number of tokens.
     */
    record SegmentDocument(long version, int tokens) {}

    /**
     * An error.
     *
     * @param error The description of the error.
     * @param requestId The identifier of the trainer's request, or empty text.
     */
    record ErrorAnswer(ErrorDocument error, String requestId) {}

    /**
     * The description of an error.
     *
     * @param code The code.
     * @param message The explanation.
     * @param ran Whether the request took effect: {@code no} or {@code unknown}.
     * @param retryAfterMillis The time after which a retry may succeed, or empty if a retry can't succeed.
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record ErrorDocument(String code, String message, String ran, Optional<Long> retryAfterMillis) {}
}
