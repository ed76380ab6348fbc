package io.yuccaswitch.command;

import io.yuccaswitch.command.configuration.ObjectStore;
import io.yuccaswitch.command.configuration.RetryPauses;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What the command takes from its surroundings.
 *
 * @param variables The environment variables.
 * @param user The name of the user.
 * @param clock The clock that changes are dated by.
 * @param changeIds Makes unique identifiers of changes.
 * @param stores Opens the platform's objects.
 * @param pauses The pauses between attempts of calls.
 */
public record CommandEnvironment(
        Map<String, String> variables,
        String user,
        InstantSource clock,
        Supplier<String> changeIds,
        Function<CommandSettings.PlatformAccess, ObjectStore> stores,
        RetryPauses pauses) {}
