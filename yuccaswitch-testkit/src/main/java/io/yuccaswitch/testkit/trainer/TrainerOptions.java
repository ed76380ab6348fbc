package io.yuccaswitch.testkit.trainer;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The options of the trainer stand-in. */
public final class TrainerOptions {

    /** The entry addresses to ask first. */
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

    /** The largest number of tokens of a sample. */
    @Parameter(names = "--maximum-tokens", description = "Largest number of tokens of a sample")
    public int maximumTokens = 512;

    /** The number of steps that are submitted ahead. */
    @Parameter(names = "--ahead", description = "Number of steps whose groups are submitted ahead")
    public int ahead = 1;

    /** The time that the training of a step takes. */
    @Parameter(names = "--train-millis", description = "Time that the training of a step takes")
    public long trainMillis = 500;

    /** The staleness bound to check. */
    @Parameter(names = "--staleness-bound", description = "Staleness bound that is checked")
    public int stalenessBound = 1;

    /** The version that is published before the first step. */
    @Parameter(names = "--first-version", description = "Version that is published before the first step")
    public long firstVersion = 1;

    /** The largest number of groups of a pull. */
    @Parameter(names = "--pull-groups", description = "Largest number of groups of a pull")
    public int pullGroups = 16;

    /** The time that a pull waits for groups. */
    @Parameter(names = "--wait-millis", description = "Time that a pull waits for groups")
    public long waitMillis = 1_000;

    /** The time after which a request is sent again through another address. */
    @Parameter(names = "--timeout-millis", description = "Time after which a request is sent again")
    public long timeoutMillis = 6_000;

    /** The time after which the trainer gives up. */
    @Parameter(names = "--limit-seconds", description = "Time after which the trainer gives up")
    public long limitSeconds = 600;

    /** The file of the records. */
    @Parameter(names = "--records", description = "File of what was accepted and received, one JSON document a line")
    public Path records;

    /** The file of the state. */
    @Parameter(names = "--state", description = "File of the cursor, from which a restarted trainer goes on")
    public Path state;

    /** Whether a restarted trainer goes on without its cursor. */
    @Parameter(names = "--forget-cursor", description = "Go on without the cursor of the state file")
    public boolean forgetCursor;

    /** The file of the report. */
    @Parameter(names = "--report", description = "File of the report; standard output if not given")
    public Path report;

    /** The file whose presence ends the training after the steps that were submitted. */
    @Parameter(names = "--finish-file", description = "File whose presence ends the training early")
    public Path finishFile;
}
