package io.yuccaswitch.command;

import io.yuccaswitch.command.configuration.ObjectStore;
import io.yuccaswitch.command.configuration.RetryPauses;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The environment that the command depends on.
 *
 * @param variables The environment variables.
 * @param user The name of the user.
 * @param clock The clock for the time stamps of changes.
 * @param changeIds Generates unique identifiers of changes.
 * @param stores Opens the object store of the platform.
 * @param pauses The pauses between attempts of calls.
 */
public record CommandEnvironment(
        Map<String, String> variables,
        String user,
        InstantSource clock,
        Supplier<String> changeIds,
        Function<CommandSettings.PlatformAccess, ObjectStore> stores,
        RetryPauses pauses) {}
