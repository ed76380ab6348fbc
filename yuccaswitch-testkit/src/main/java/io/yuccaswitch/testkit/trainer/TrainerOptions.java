package io.yuccaswitch.testkit.trainer;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The options of the trainer stand-in. */
public final class TrainerOptions {

    /** The entry addresses to query initially. */
    @Parameter(names = "--entry", required = true, description = "Entry addresses as host:port, several with commas")
    public List<String> entryAddresses = new ArrayList<>();

    /** The name of the trainer. */
    @Parameter(names = "--trainer", required = true, description = "Name of the trainer")
    public String trainer = "";

    /** The bearer token of the trainer. */
    @Parameter(names = "--token", description = "Bearer token of the trainer")
    public String token;

    /** The availability zone of the trainer. */
    @Parameter(names = "--availability-zone", description = "Availability zone of the trainer")
    public String availabilityZone = "";

    /** The file of the prompts. */
    @Parameter(names = "--prompts", required = true, description = "File of the prompts, one on each line")
    public Path prompts;

    /** The number of steps. */
    @Parameter(names = "--steps", description = "Number of steps")
    public int steps = 3;

    /** The number of groups in a step. */
    @Parameter(names = "--groups", description = "Number of groups in a step")
    public int groups = 8;

    /** The number of samples in a group. */
    @Parameter(names = "--group-size", description = "Number of samples in a group")
    public int groupSize = 4;

    /** The maximum number of tokens of a sample. */
    @Parameter(names = "--maximum-tokens", description = "Maximum number of tokens of a sample")
    public int maximumTokens = 512;

    /** The number of steps whose groups are submitted ahead. */
    @Parameter(names = "--ahead", description = "Number of steps whose groups are submitted ahead")
    public int ahead = 1;

    /** The duration of training a step in milliseconds. */
    @Parameter(names = "--train-millis", description = "Duration of training a step")
    public long trainMillis = 500;

    /** The staleness bound to check. */
    @Parameter(names = "--staleness-bound", description = "Staleness bound that is checked")
    public int stalenessBound = 1;

    /** The version that is published before the first step. */
    @Parameter(names = "--first-version", description = "Version that is published before the first step")
    public long firstVersion = 1;

    /** The maximum number of groups of a pull. */
    @Parameter(names = "--pull-groups", description = "Maximum number of groups of a pull")
    public int pullGroups = 16;

    /** The time in milliseconds that a pull waits for groups. */
    @Parameter(names = "--wait-millis", description = "Time that a pull waits for groups")
    public long waitMillis = 1_000;

    /** The time in milliseconds after which a request is retried through another address. */
    @Parameter(names = "--timeout-millis", description = "Time after which a request is retried")
    public long timeoutMillis = 6_000;

    /** The time in seconds after which the trainer times out. */
    @Parameter(names = "--limit-seconds", description = "Time after which the trainer times out")
    public long limitSeconds = 600;

    /** The file of the records. */
    @Parameter(
            names = "--records",
            description = "File of accepted groups and received samples, one JSON document per line")
    public Path records;

    /** The file of the state. */
    @Parameter(names = "--state", description = "File of the state, from which a restarted trainer resumes")
    public Path state;

    /** Whether a restarted trainer resumes without its cursor. */
    @Parameter(names = "--forget-cursor", description = "Resume without the cursor of the state file")
    public boolean forgetCursor;

    /** The file of the report. */
    @Parameter(names = "--report", description = "File of the report; standard output if not given")
    public Path report;

    /** The file whose presence ends the training after the submitted steps. */
    @Parameter(names = "--finish-file", description = "File whose presence ends the training early")
    public Path finishFile;
}
