package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Map;

/** Messages that nodes exchange about batch jobs. */
public sealed interface BatchMessage extends PeerMessage {

    /**
     * Hands over an accepted job to the node that is to run it.
     *
     * @param id The job.
     * @param job The job, encoded as it is stored on the platform.
     * @param created Whether the sender has just created the job's entry, so that the job has no listed results unless
     *     the message was delayed. Nodes of an earlier release don't state it.
     */
    record HandedOver(String id, Bytes job, boolean created) implements BatchMessage {}

    /**
     * Notifies the runner of a job that the job has been ended.
     *
     * @param id The job.
     */
    record Ended(String id) implements BatchMessage {}

    /**
     * Requests results from the runner of a job. The runner answers as soon as there is a result, and sends no answer
     * if there is none in time.
     *
     * @param ticket The sender's ticket, which the answer repeats.
     * @param id The job.
     * @param position The position of the first requested result.
     * @param waitMillis How long the sender waits, in milliseconds.
     */
    record ReadResults(long ticket, String id, int position, long waitMillis) implements BatchMessage {}

    /**
     * Returns results that are stored on the platform. Tickets start again from the beginning when a node restarts, so
     * answers also repeat the parameters of the request.
     *
     * @param ticket The ticket of the request.
     * @param id The job.
     * @param position The requested position.
     * @param total The number of the job's items.
     * @param next The position after the last result.
     * @param results The results.
     */
    record ResultsRead(long ticket, String id, int position, int total, int next, List<BatchResult> results)
            implements BatchMessage {}

    /**
     * Requests the body of an item from the runner of a job.
     *
     * @param ticket The sender's ticket, which the answer repeats.
     * @param id The job.
     * @param item The item.
     */
    record ReadBody(long ticket, String id, String item) implements BatchMessage {}

    /**
     * Returns the body of an item.
     *
     * @param ticket The ticket of the request.
     * @param id The job.
     * @param item The item.
     * @param body The body.
     */
    record BodyRead(long ticket, String id, String item, Bytes body) implements BatchMessage {}

    /**
     * Requests that another node lists results on the platform, because the platform does not answer the sender.
     *
     * @param ticket The sender's ticket, which the answer repeats.
     * @param id The job.
     * @param number The number of the object with the results.
     * @param value The object's value.
     */
    record StoreResults(long ticket, String id, int number, Bytes value) implements BatchMessage {}

    /**
     * Reports the outcome of a request to list results.
     *
     * @param ticket The ticket of the request.
     * @param id The job.
     * @param number The number of the object.
     * @param listed Whether an object with this number is now stored on the platform.
     * @param value The value of the object, which may hold other results, or empty if it is unknown.
     */
    record ResultsStored(long ticket, String id, int number, boolean listed, Bytes value) implements BatchMessage {}

    /**
     * Reports to another node that runs jobs how many items the sender has in progress at each engine, and how many
     * wait for slots.
     *
     * @param running The items that the sender has in progress, by engine.
     * @param tokens The tokens that these items are expected to occupy in the memory of each engine.
     * @param slowMillis For how long the sender's own readings have shown an engine as slow, in milliseconds.
     * @param demands The jobs that wait for slots.
     */
    record EnginesInUse(
            Map<EndpointName, Integer> running,
            Map<EndpointName, Long> tokens,
            Map<EndpointName, Long> slowMillis,
            List<Demand> demands)
            implements BatchMessage {

        /**
         * Copies the collections. Nodes of an earlier release send no tokens and slow engines.
         *
         * @param running The items that the sender has in progress, by engine.
         * @param tokens The tokens that these items are expected to occupy in the memory of each engine.
         * @param slowMillis For how long the sender's own readings have shown an engine as slow, in milliseconds.
         * @param demands The jobs that wait for slots.
         */
        public EnginesInUse {
            running = Map.copyOf(running);
            tokens = tokens == null ? Map.of() : Map.copyOf(tokens);
            slowMillis = slowMillis == null ? Map.of() : Map.copyOf(slowMillis);
            demands = List.copyOf(demands);
        }
    }

    /**
     * A job that waits for slots at engines.
     *
     * @param model The model.
     * @param submittedAt When the job was submitted, in milliseconds since the epoch.
     * @param waiting The number of its items that wait.
     * @param slackMillis The time until the job's results are due less the time that its items still need, in
     *     milliseconds, or 0 if the sender does not order jobs by it.
     * @param needMillis The time that the items still need, in milliseconds, or 0 if the sender does not know the rate
     *     of engines.
     * @param priority The priority of the items at engines, where a lower number is more urgent.
     * @param running The number of the job's items in progress.
     */
    record Demand(
            String model, long submittedAt, int waiting, long slackMillis, long needMillis, int priority, int running) {

        /** The priority that engines assume where a request states none. */
        private static final int DEFAULT_PRIORITY = 5;

        /**
         * Creates a demand of the usual priority without items in progress.
         *
         * @param model The model.
         * @param submittedAt When the job was submitted, in milliseconds since the epoch.
         * @param waiting The number of its items that wait.
         * @param slackMillis The slack in milliseconds, or 0 if the sender does not order jobs by it.
         */
        public Demand(String model, long submittedAt, int waiting, long slackMillis) {
            this(model, submittedAt, waiting, slackMillis, 0, DEFAULT_PRIORITY, 0);
        }

        /**
         * Creates the demand of a step. As 0 marks a sender that does not order by slack, a slack of 0 becomes 1 ms.
         *
         * @param step The step.
         * @return The demand.
         */
        static Demand of(Step step) {
            long slack = step.slackMillis() == 0 ? 1 : step.slackMillis();
            return new Demand(
                    step.model(),
                    step.submittedAt(),
                    step.waiting(),
                    slack,
                    step.needMillis(),
                    step.priority(),
                    step.running());
        }
    }

    /**
     * Reports that the sender does not run the job or has no such item, so that the requester has to query the
     * platform.
     *
     * @param ticket The ticket of the request.
     */
    record ReadDeclined(long ticket) implements BatchMessage {}
}
