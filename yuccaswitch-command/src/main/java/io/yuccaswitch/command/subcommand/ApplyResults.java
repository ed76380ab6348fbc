package io.yuccaswitch.command.subcommand;

import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.configuration.ApplyOutcome;
import io.yuccaswitch.command.configuration.ApplyOutcome.Accepted;
import io.yuccaswitch.command.configuration.ApplyOutcome.ChangeIdInUse;
import io.yuccaswitch.command.configuration.ApplyOutcome.Damaged;
import io.yuccaswitch.command.configuration.ApplyOutcome.Lost;
import io.yuccaswitch.command.configuration.ApplyOutcome.TooLarge;
import io.yuccaswitch.command.configuration.ApplyOutcome.Unchanged;
import io.yuccaswitch.command.configuration.ApplyOutcome.Unknown;
import io.yuccaswitch.command.configuration.ApplyOutcome.Unreachable;
import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.SettingsDifference;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Creates the results of changes for users and scripts. */
final class ApplyResults {

    /** This class has no instances. */
    private ApplyResults() {}

    /**
     * Creates the result for an outcome.
     *
     * @param outcome The outcome.
     * @param source The folder or the option that replaces it, as written on the command line.
     * @return The result.
     */
    static CommandResult of(ApplyOutcome outcome, String source) {
        if (outcome instanceof Accepted accepted) {
            return accepted(accepted);
        }
        if (outcome instanceof Unchanged unchanged) {
            return unchanged(unchanged.current());
        }
        if (outcome instanceof Lost lost) {
            return lost(lost, source);
        }
        if (outcome instanceof Unknown unknown) {
            return unknown(unknown, source);
        }
        if (outcome instanceof Unreachable unreachable) {
            return PlatformCalls.unreachable(unreachable.reason());
        }
        if (outcome instanceof ChangeIdInUse inUse) {
            return CommandResult.failure(
                    ExitCode.INVALID,
                    "The change id belongs to another change, " + describe(inUse.other()) + ". Nothing was changed.",
                    "Omit --change-id to generate a unique one.");
        }
        if (outcome instanceof TooLarge tooLarge) {
            return CommandResult.failure(
                    ExitCode.INVALID,
                    "The configuration has " + tooLarge.size() + " bytes, but the platform stores at most "
                            + tooLarge.maximum() + ". Nothing was changed.",
                    "Make the folder smaller.");
        }
        Damaged damaged = (Damaged) outcome;
        return CommandResult.failure(
                ExitCode.FAILED,
                damaged.reason(),
                PlatformCalls.damaged().lines().get(1));
    }

    /**
     * Creates the result for a change that was accepted.
     *
     * @param outcome The outcome.
     * @return The result.
     */
    private static CommandResult accepted(Accepted outcome) {
        List<String> lines = new ArrayList<>();
        outcome.differences().forEach(difference -> lines.add(difference.toString()));
        lines.add("Accepted as " + describe(outcome.accepted()) + ".");
        outcome.supersededBy()
                .ifPresent(newest -> lines.add("It has since been superseded by " + describe(newest) + "."));
        lines.addAll(outcome.warnings());
        lines.add("Run \"yuccaswitch status\" to see where it is in force.");
        return new CommandResult(
                ExitCode.OK,
                lines,
                new ApplyDocument(
                        "accepted",
                        Optional.of(Generation.of(outcome.accepted())),
                        outcome.supersededBy().map(Generation::of),
                        outcome.differences(),
                        outcome.warnings()));
    }

    /**
     * Creates the result for a configuration that is already accepted.
     *
     * @param current The latest generation.
     * @return The result.
     */
    private static CommandResult unchanged(ConfigurationDocument current) {
        return new CommandResult(
                ExitCode.OK,
                List.of("Nothing to change: the content equals that of " + describe(current) + "."),
                new ApplyDocument(
                        "unchanged", Optional.of(Generation.of(current)), Optional.empty(), List.of(), List.of()));
    }

    /**
     * Creates the result for a change that conflicts with one that was accepted first.
     *
     * @param outcome The outcome.
     * @param source The folder or option.
     * @return The result.
     */
    private static CommandResult lost(Lost outcome, String source) {
        List<String> lines = new ArrayList<>();
        lines.add("Nothing was changed: " + describe(outcome.winner()) + " was accepted first.");
        if (!outcome.differences().isEmpty()) {
            lines.add("It differs from generation " + outcome.base().orElse(0) + " in:");
            outcome.differences().forEach(difference -> lines.add("  " + difference));
        }
        lines.add(
                "Adopt these values where they should be kept, and run \"yuccaswitch diff\" to see what would change.");
        lines.add("Then run \"yuccaswitch apply " + source + " --expected-generation "
                + outcome.winner().generation() + "\".");
        return new CommandResult(
                ExitCode.CONFLICT,
                lines,
                new ApplyDocument(
                        "conflict",
                        Optional.empty(),
                        Optional.of(Generation.of(outcome.winner())),
                        outcome.differences(),
                        List.of()));
    }

    /**
     * Creates the result for a change that may have been accepted.
     *
     * @param outcome The outcome.
     * @param source The folder or option.
     * @return The result.
     */
    private static CommandResult unknown(Unknown outcome, String source) {
        String resume = "yuccaswitch apply " + source + " --change-id " + outcome.changeId()
                + (outcome.base() > 0 ? " --expected-generation " + outcome.base() : "");
        List<String> lines = List.of(
                "The change may or may not have been accepted: " + outcome.reason() + ".",
                "Run \"" + resume
                        + "\" once the platform answers. It resumes the same change, which takes effect at most once.");
        return new CommandResult(
                ExitCode.UNKNOWN_OUTCOME,
                lines,
                new UnknownDocument("unknown-outcome", outcome.changeId(), outcome.base(), outcome.reason(), resume));
    }

    /**
     * Describes a generation.
     *
     * @param document The generation.
     * @return Its number, author, time and change.
     */
    static String describe(ConfigurationDocument document) {
        return "generation " + document.generation() + " by " + document.author() + " at " + document.acceptedAt()
                + " (change " + document.changeId() + ")";
    }

    /**
     * The result of an apply.
     *
     * @param outcome The outcome of the change.
     * @param generation The generation with the requested content, if there is one.
     * @param newest The latest generation, if it is a different one.
     * @param differences The values that were changed or, after a conflict, that others changed.
     * @param warnings Problems that did not prevent the acceptance.
     */
    record ApplyDocument(
            String outcome,
            Optional<Generation> generation,
            Optional<Generation> newest,
            List<SettingsDifference> differences,
            List<String> warnings) {}

    /**
     * The result of an apply whose outcome is unknown.
     *
     * @param outcome The outcome of the change.
     * @param changeId The identifier of the change.
     * @param expectedGeneration The generation that the change was based on, or zero if there was none.
     * @param reason The reason.
     * @param next The command line that resumes the change.
     */
    record UnknownDocument(String outcome, String changeId, long expectedGeneration, String reason, String next) {}

    /**
     * A generation without its content.
     *
     * @param generation The generation.
     * @param changeId The identifier of the change.
     * @param author The author of the change.
     * @param acceptedAt The time of the change according to the clock of its author.
     */
    record Generation(long generation, String changeId, String author, Instant acceptedAt) {

        /**
         * Creates a generation without its content.
         *
         * @param document The generation.
         * @return The generation without its content.
         */
        static Generation of(ConfigurationDocument document) {
            return new Generation(document.generation(), document.changeId(), document.author(), document.acceptedAt());
        }
    }
}
