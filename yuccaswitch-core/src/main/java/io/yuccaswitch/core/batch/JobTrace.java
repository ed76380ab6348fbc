package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.route.RouteConfiguration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Records what a node does with the listed results of jobs: from which results it starts a job, what it reads, and what
 * it lists. Each line names the node's incarnation, because the lines of all nodes are read together.
 */
final class JobTrace {

    /** The kind of decisions on running jobs. */
    private static final String JOB = "batch-job";

    /** The kind of decisions on written results. */
    private static final String RESULTS = "batch-results";

    /** The kind of decisions on loads. */
    private static final String LOAD = "batch-load";

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The loads in progress. */
    private final EntityTable<BatchJobId, Load> loads = new EntityTable<>();

    /**
     * Creates a trace without loads.
     *
     * @param membership The nodes of the site.
     */
    JobTrace(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Records that this node starts to run a job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param log The job's log.
     * @param start Why it starts.
     * @param texts The number of items with stored texts.
     * @param resumed The number of items that resume after their stored texts.
     */
    void started(Tick tick, RunningJob job, ResultLog log, JobStart start, int texts, long resumed) {
        BatchJob submitted = job.job();
        String load = loads.contains(submitted.id()) ? "a load is in progress" : "no load is in progress";
        tick.emit(new JobObservation.Started(submitted.id(), start.cause()));
        write(
                tick,
                JOB,
                submitted.id(),
                "run here",
                start + ", model " + submitted.model() + " minimum version " + submitted.minimumVersion() + " items "
                        + submitted.items().size() + " remaining " + job.items().size() + " listed " + log.size()
                        + " in objects " + log.objects() + " " + describe(log.version()) + " texts " + texts
                        + " with events " + resumed + ", " + load);
    }

    /**
     * Records that this node stopped running a job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param log The job's log, if there is one.
     * @param reason The reason.
     * @param cancelled The number of items whose attempts were cancelled.
     */
    void stopped(Tick tick, RunningJob job, Optional<ResultLog> log, String reason, int cancelled) {
        List<String> unlisted = job.pending().stream().map(BatchResult::item).toList();
        write(
                tick,
                JOB,
                job.job().id(),
                "stop here",
                reason + ", items cancelled " + cancelled + ", " + describe(log) + ", results not listed "
                        + unlisted.size() + describeItems(unlisted)
                        + (job.isCommitting() ? ", a write of results is in progress" : ""));
    }

    /**
     * Records that all results of a job are listed.
     *
     * @param tick The tick.
     * @param log The job's log.
     */
    void finished(Tick tick, ResultLog log) {
        write(tick, JOB, log.id(), "finished", "all results are listed, " + describe(Optional.of(log)));
    }

    /**
     * Records that a log was evicted.
     *
     * @param tick The tick.
     * @param log The log.
     */
    void evicted(Tick tick, ResultLog log) {
        write(
                tick,
                "batch-log",
                log.id(),
                "evicted",
                "the logs exceed the memory limit, " + describe(Optional.of(log)) + ", bytes " + log.bytes());
    }

    /**
     * Records that this node begins to load a job.
     *
     * @param tick The tick.
     * @param id The job.
     * @param start Why this node is to run it.
     * @param log The job's log, if there is one.
     */
    void loadBegun(Tick tick, BatchJobId id, JobStart start, Optional<ResultLog> log) {
        if (!loads.contains(id)) {
            tick.emit(new JobObservation.LoadBegun(id));
        }
        loads.put(id, new Load(start.toString(), 0, 0));
        write(tick, LOAD, id, "begun", start + ", " + describe(log));
    }

    /**
     * Records that a job waits until this node has the configuration under which the job was accepted.
     *
     * @param tick The tick.
     * @param job The job.
     * @param active The configuration of this node, if it has one.
     * @param start Why this node is to run the job.
     */
    void awaitsConfiguration(Tick tick, BatchJob job, Optional<RouteConfiguration> active, JobStart start) {
        String version = active.map(configuration -> Long.toString(configuration.version()))
                .orElse("none");
        write(
                tick,
                JOB,
                job.id(),
                "wait",
                start + ", accepted under configuration " + job.configurationVersion() + ", this node has " + version);
    }

    /**
     * Records that a load ended.
     *
     * @param tick The tick.
     * @param id The job.
     * @param outcome What follows from the load.
     * @param log The job's log, if there is one.
     */
    void loadEnded(Tick tick, BatchJobId id, LoadOutcome outcome, Optional<ResultLog> log) {
        Optional<Load> ended = loads.remove(id);
        if (ended.isEmpty()) {
            return;
        }
        Load load = ended.get();
        tick.emit(new JobObservation.LoadEnded(id));
        write(
                tick,
                LOAD,
                id,
                outcome.choice,
                outcome.description + ", " + load.reason() + ", read objects " + load.objects() + " results "
                        + load.results() + ", " + describe(log));
    }

    /**
     * Records that objects were read from the platform, unless there was nothing new among them.
     *
     * @param tick The tick.
     * @param log The job's log, after the objects were appended.
     * @param before The extent of the log before that.
     * @param listed The objects that the platform returned.
     * @param way How they were read.
     */
    void read(Tick tick, ResultLog log, Extent before, List<StoredObject> listed, ReadWay way) {
        long skipped = listed.stream()
                .filter(object -> BatchObjects.number(object.key().name()).orElse(log.objects()) >= log.objects())
                .count();
        reportRepeated(tick, log);
        int appended = log.objects() - before.objects();
        if (way == ReadWay.LOAD) {
            loads.update(log.id(), load -> new Load(load.reason(), appended, log.size() - before.size()));
        }
        if (appended == 0 && skipped == 0) {
            return;
        }
        String range = appended == 0
                ? "nothing"
                : "objects " + before.objects() + " to " + (log.objects() - 1) + " with " + (log.size() - before.size())
                        + " results" + positions(before.size(), log.size());
        write(
                tick,
                "batch-read",
                log.id(),
                skipped == 0 ? "appended" : "incomplete",
                range + " by " + way.description + ", " + describe(Optional.of(log))
                        + (skipped == 0 ? "" : ", skipped " + skipped + " objects after a gap or unreadable"));
    }

    /**
     * Records that results are listed.
     *
     * @param tick The tick.
     * @param write The write.
     * @param results The results of the object.
     * @param origin Who created the object.
     * @param choice The outcome.
     * @param appended Whether they were appended to the log of the write.
     */
    void listed(
            Tick tick,
            ObjectWrite write,
            List<BatchResult> results,
            JobObservation.Origin origin,
            String choice,
            boolean appended) {
        ResultLog log = write.log();
        tick.emit(new JobObservation.ObjectListed(log.id(), origin));
        reportRepeated(tick, log);
        String place = appended ? positions(log.size() - results.size(), log.size()) : " already in the log";
        write(
                tick,
                RESULTS,
                log.id(),
                choice,
                "object " + write.number() + " with " + results.size() + " results" + place + ", " + log.size()
                        + " in total" + describeItems(ids(results))
                        + write.describe());
    }

    /**
     * Records that results could not be listed.
     *
     * @param tick The tick.
     * @param write The write.
     * @param reason The reason.
     */
    void notListed(Tick tick, ObjectWrite write, String reason) {
        write(
                tick,
                RESULTS,
                write.log().id(),
                "not listed",
                "object " + write.number() + ", " + reason + write.describe());
    }

    /**
     * Logs that results are not listed because the log already contains results of their items.
     *
     * @param tick The tick.
     * @param log The log.
     * @param results The results.
     */
    void dropped(Tick tick, ResultLog log, List<BatchResult> results) {
        write(
                tick,
                RESULTS,
                log.id(),
                "dropped",
                results.size() + " results whose items are listed" + describeItems(ids(results)) + ", "
                        + describe(Optional.of(log)));
    }

    /**
     * Records that this node created an object for another node, or tried to.
     *
     * @param tick The tick.
     * @param id The job.
     * @param choice The outcome.
     * @param reason The reason.
     * @param results The results that are listed under the number, or none if that is unknown.
     */
    void relayed(Tick tick, BatchJobId id, String choice, String reason, List<BatchResult> results) {
        write(tick, "batch-relay", id, choice, reason + describeItems(ids(results)));
    }

    /**
     * Reports the items that were appended to a log although it already contained them.
     *
     * @param tick The tick.
     * @param log The log.
     */
    private void reportRepeated(Tick tick, ResultLog log) {
        log.takeRepeated()
                .forEach((object, items) -> tick.emit(
                        new JobObservation.ItemsRepeated(membership.self().identity(), log.id(), object, items)));
    }

    /**
     * Writes a line that ends with the node.
     *
     * @param tick The tick.
     * @param kind The kind of the decision.
     * @param id The job.
     * @param choice The choice.
     * @param reason The reason.
     */
    private void write(Tick tick, String kind, BatchJobId id, String choice, String reason) {
        tick.decide(Decision.of(
                kind, id.value(), choice, reason + ", node " + membership.self().identity()));
    }

    /**
     * Returns the identifiers of items.
     *
     * @param results The results of the items.
     * @return The identifiers.
     */
    private static List<String> ids(List<BatchResult> results) {
        return results.stream().map(BatchResult::item).toList();
    }

    /**
     * Describes items.
     *
     * @param items The identifiers of the items.
     * @return The description, which is empty if there are none.
     */
    private static String describeItems(List<String> items) {
        return items.isEmpty() ? "" : ", items " + CompactList.of(items);
    }

    /**
     * Describes positions.
     *
     * @param from The first position.
     * @param end The position after the last one.
     * @return The description, which is empty if there are none.
     */
    private static String positions(int from, int end) {
        return from == end ? "" : " at positions " + from + " to " + (end - 1);
    }

    /**
     * Describes a log.
     *
     * @param log The log, if there is one.
     * @return The description.
     */
    private static String describe(Optional<ResultLog> log) {
        return log.map(found -> "log has objects " + found.objects() + " results " + found.size() + " "
                        + describe(found.version()))
                .orElse("there is no log");
    }

    /**
     * Describes up to which version a log was read.
     *
     * @param version The version, or empty if the objects were never listed.
     * @return The description.
     */
    private static String describe(OptionalLong version) {
        return version.isPresent() ? "read to version " + version.getAsLong() : "never read";
    }

    /** The ways to read results from the platform. */
    enum ReadWay {
        /** The objects after those in the log were listed for a reader. */
        LIST("list"),
        /** The objects were watched for a reader. */
        WATCH("watch"),
        /** All objects were listed to run the job. */
        LOAD("load");

        /** The description for logs. */
        private final String description;

        /**
         * Creates a way.
         *
         * @param description The description for logs.
         */
        ReadWay(String description) {
            this.description = description;
        }
    }

    /** The outcomes of loads. */
    enum LoadOutcome {
        /** The job starts. */
        STARTS("ended", "the job starts"),
        /** The results of all items are listed. */
        COMPLETE("ended", "all results are listed"),
        /** The job was started or ended in another way in the meantime. */
        SUPERSEDED("superseded", "the job was started or ended during the load"),
        /** The job could not be read. */
        JOB_UNREAD("not loaded", "the job could not be read"),
        /** The results could not be read. */
        RESULTS_UNREAD("not loaded", "the results could not be read");

        /** The choice of the decision. */
        private final String choice;

        /** The description for logs. */
        private final String description;

        /**
         * Creates an outcome.
         *
         * @param choice The choice of the decision.
         * @param description The description for logs.
         */
        LoadOutcome(String choice, String description) {
            this.choice = choice;
            this.description = description;
        }
    }

    /**
     * A write of an object with results.
     *
     * @param log The log that the object follows.
     * @param number The number of the object.
     * @param isCurrent Whether the run and the log that the write belongs to are still the job's current ones.
     */
    record ObjectWrite(ResultLog log, int number, boolean isCurrent) {

        /**
         * Describes whether the write belongs to the job's current run and log.
         *
         * @return The description, which is empty if it does.
         */
        private String describe() {
            return isCurrent ? "" : ", begun by an earlier run or with an evicted log";
        }
    }

    /**
     * The extent of a log at some time.
     *
     * @param objects The number of objects.
     * @param size The number of results.
     */
    record Extent(int objects, int size) {

        /**
         * Returns the current extent of a log.
         *
         * @param log The log.
         * @return The extent.
         */
        static Extent of(ResultLog log) {
            return new Extent(log.objects(), log.size());
        }
    }

    /**
     * A load in progress.
     *
     * @param reason Why this node loads the job.
     * @param objects The number of objects that were appended to the log.
     * @param results The number of results that were appended to the log.
     */
    private record Load(String reason, int objects, int results) {}
}
