package io.yuccaswitch.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.yuccaswitch.command.configuration.PlatformObjectStore;
import io.yuccaswitch.command.configuration.RetryPauses;
import io.yuccaswitch.settings.FleetConfigurationCodec;
import io.yuccaswitch.settings.SettingsFolder;
import io.yuccaswitch.testkit.platform.Outage;
import io.yuccaswitch.testkit.platform.PlatformStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CommandLineTest {

    private static final String PADMA = "../examples/padma-small";

    private static final String ISOMERO = "../examples/isomero-small";

    private final Map<String, String> variables = new HashMap<>();

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private PlatformStandIn platform;

    @BeforeEach
    void startPlatform() {
        platform = PlatformStandIn.start(0, Optional.of("platform-secret"));
        variables.put("YUCCASWITCH_PLATFORM", "127.0.0.1:" + platform.port());
        variables.put("YUCCASWITCH_PLATFORM_TOKEN", "platform-secret");
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {PADMA, ISOMERO})
    void theExamplesAreValid(String folder) {
        assertThat(run("check", folder)).isEqualTo(ExitCode.OK);
        assertThat(text(output)).contains(folder + " is valid");
    }

    @Test
    void theExamplesHaveTheSizesOfTheSites() throws IOException {
        assertThat(sizes(PADMA)).isEqualTo("zones=4 matcher-lm=8 ledger-app=4");
        assertThat(sizes(ISOMERO)).isEqualTo("zones=3 sampler-pool=6 catalogue-app=3");
    }

    @Test
    void everyErrorOfAFolderIsReportedAndNothingIsApplied(@TempDir Path folder) throws IOException {
        Files.writeString(folder.resolve("10.json"), "{\n\"site\": 1,\n\"leases\": {}\n}");
        assertThat(run("apply", folder.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(text(errors)).contains("10.json:2: site: [wrong-type]").contains("10.json:3: leases: [unknown-key]");
        assertThat(platform.callCount()).isZero();
    }

    @Test
    void aChangeIsComparedAppliedListedAndReverted() throws IOException {
        assertThat(run("diff", PADMA)).isEqualTo(ExitCode.OK);
        assertThat(text(output)).contains("+ site = \"padma\"").contains("--expected-generation 0");
        assertThat(run("apply", PADMA)).isEqualTo(ExitCode.OK);
        assertThat(run("apply", ISOMERO, "--author", "sujoy")).isEqualTo(ExitCode.OK);
        assertThat(run("apply", "--revert-to", "1")).isEqualTo(ExitCode.OK);
        JsonNode history = json("history");
        assertThat(history.at("/generations/0/generation").asLong()).isEqualTo(3);
        assertThat(history.at("/generations/1/author").asText()).isEqualTo("sujoy");
        assertThat(history.at("/generations/2/acceptedAt").asText()).isEqualTo("1970-01-01T00:00:00Z");
        assertThat(json("diff", PADMA).path("different").asBoolean()).isFalse();
    }

    @Test
    void aChangeBasedOnAnOlderGenerationIsAConflictThatNamesTheAcceptedChange() {
        run("apply", PADMA);
        run("apply", ISOMERO, "--author", "sujoy");
        assertThat(run("apply", PADMA, "--expected-generation", "1")).isEqualTo(ExitCode.CONFLICT);
        assertThat(text(errors))
                .contains("generation 2 by sujoy")
                .contains("~ site = \"padma\" -> \"isomero\"")
                .contains("--expected-generation 2");
    }

    @Test
    void aLostAnswerOfThePlatformIsResolved() throws IOException {
        run("apply", PADMA);
        platform.faults().loseAnswers(1);
        assertThat(run("apply", ISOMERO)).isEqualTo(ExitCode.OK);
        assertThat(json("history").path("generations")).hasSize(2);
    }

    @Test
    void anApplyIsOneWriteOfTheConfigurationAndOneOfTheHistory() {
        run("apply", PADMA);
        platform.resetCounts();
        run("apply", ISOMERO);
        assertThat(platform.callCount()).isEqualTo(5);
    }

    @Test
    void anOutageOfThePlatformIsReportedAsUnreachableWithASuggestedNextStep() {
        platform.faults().outage(Outage.ERROR);
        assertThat(run("apply", PADMA)).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(text(errors)).contains("Nothing was changed").contains("run the command again");
    }

    @Test
    void aGenerationThatIsNotInTheHistoryCannotBeRevertedTo() {
        assertThat(run("apply", "--revert-to", "9")).isEqualTo(ExitCode.INVALID);
        assertThat(text(errors)).contains("yuccaswitch history");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "unknown",
                "check",
                "apply",
                "apply x --revert-to 1",
                "apply --revert-to x",
                "log-level io.yuccaswitch LOUD",
                "status",
                "drain vm-1",
                "report --interval soon",
            })
    void invalidArgumentsAreRejected(String arguments) {
        String[] split = arguments.isEmpty() ? new String[0] : arguments.split(" ");
        assertThat(run(split)).isEqualTo(ExitCode.INVALID);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "check",
                "diff",
                "apply",
                "history",
                "status",
                "explain",
                "drain",
                "log-level",
                "report",
                "version"
            })
    void everySubcommandHasHelp(String subcommand) {
        assertThat(run(subcommand, "--help")).isEqualTo(ExitCode.OK);
        assertThat(text(output)).contains("--json").contains("Exit codes:");
    }

    @Test
    void addressesCanBeReadFromASettingsFile(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("command.json");
        Files.writeString(
                file,
                "{\"platform\": {\"address\": \"" + variables.get("YUCCASWITCH_PLATFORM")
                        + "\", \"token\": \"platform-secret\"}}");
        variables.clear();
        assertThat(run("history", "--settings", file.toString())).isEqualTo(ExitCode.OK);
        assertThat(run("history")).isEqualTo(ExitCode.INVALID);
        Files.writeString(file, "{\"platfrom\": {}}");
        assertThat(run("history", "--settings", file.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(text(errors)).contains("Did you mean \"platform\"?");
    }

    private String sizes(String folder) throws IOException {
        SettingsFolder read = SettingsFolder.read(Path.of(folder));
        JsonNode content =
                new ObjectMapper().readTree(FleetConfigurationCodec.encode(read).toUtf8());
        List<String> pools =
                folder.equals(PADMA) ? List.of("matcher-lm", "ledger-app") : List.of("sampler-pool", "catalogue-app");
        StringBuilder sizes =
                new StringBuilder("zones=" + content.path("availabilityZones").size());
        pools.forEach(pool -> sizes.append(" ")
                .append(pool)
                .append("=")
                .append(content.path("pools").path(pool).path("endpoints").size()));
        return sizes.toString();
    }

    private JsonNode json(String... arguments) throws IOException {
        String[] withJson = new String[arguments.length + 1];
        System.arraycopy(arguments, 0, withJson, 0, arguments.length);
        withJson[arguments.length] = "--json";
        assertThat(run(withJson)).isEqualTo(ExitCode.OK);
        return new ObjectMapper().readTree(text(output));
    }

    private ExitCode run(String... arguments) {
        output.reset();
        errors.reset();
        CommandEnvironment environment = new CommandEnvironment(
                variables,
                "rina",
                InstantSource.fixed(Instant.EPOCH),
                () -> UUID.randomUUID().toString(),
                PlatformObjectStore::open,
                new RetryPauses.Doubling(Duration.ofMillis(1), Duration.ofMillis(10)));
        return new CommandLine(environment, print(output), print(errors)).run(arguments);
    }

    private static PrintStream print(ByteArrayOutputStream stream) {
        return new PrintStream(stream, true, StandardCharsets.UTF_8);
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
