package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Map;

/** What nodes tell each other about batch jobs. */
public sealed interface BatchMessage extends PeerMessage {

    /**
     * Hands a job over that was accepted for the receiver to run.
     *
     * @param id The job.
     * @param job The job as the platform keeps it.
     */
    record HandedOver(String id, Bytes job) implements BatchMessage {}

    /**
     * Tells the runner of a job that the job is ended.
     *
     * @param id The job.
     */
    record Ended(String id) implements BatchMessage {}

    /**
     * Asks the runner of a job for results. It answers as soon as there is one, and not at all if there is none in
     * time.
     *
     * @param ticket The sender's ticket, which the answer bears.
     * @param id The job.
     * @param position The position from which results are wanted.
     * @param waitMillis How long the sender waits, in milliseconds.
     */
    record ReadResults(long ticket, String id, int position, long waitMillis) implements BatchMessage {}

    /**
     * Hands on results that are kept on the platform. Tickets begin anew when a node restarts, so answers bear what was
     * asked beside them.
     *
     * @param ticket The ticket of the request.
     * @param id The job.
     * @param position The position that was asked for.
     * @param total The number of the job's items.
     * @param next The position behind the last result.
     * @param results The results.
     */
    record ResultsRead(long ticket, String id, int position, int total, int next, List<BatchResult> results)
            implements BatchMessage {}

    /**
     * Asks the runner of a job for the body of an item.
     *
     * @param ticket The sender's ticket, which the answer bears.
     * @param id The job.
     * @param item The item.
     */
    record ReadBody(long ticket, String id, String item) implements BatchMessage {}

    /**
     * Hands on the body of an item.
     *
     * @param ticket The ticket of the request.
     * @param id The job.
     * @param item The item.
     * @param body The body.
     */
    record BodyRead(long ticket, String id, String item, Bytes body) implements BatchMessage {}

    /**
     * Asks another node to list results on the platform, which does not answer the sender.
     *
     * @param ticket The sender's ticket, which the answer bears.
     * @param id The job.
     * @param number The number of the object with the results.
     * @param value The object's value.
     */
    record StoreResults(long ticket, String id, int number, Bytes value) implements BatchMessage {}

    /**
     * Says what became of results that the sender was asked to list.
     *
     * @param ticket The ticket of the request.
     * @param id The job.
     * @param number The number of the object.
     * @param listed Whether the platform keeps an object of this number now.
     * @param value What the object holds, which may be other results, or empty if nothing is known.
     */
    record ResultsStored(long ticket, String id, int number, boolean listed, Bytes value) implements BatchMessage {}

    /**
     * Tells another node that runs jobs what the sender has at the engines and still has to place.
     *
     * @param running The items that the sender has in progress, by engine.
     * @param demands The jobs that wait for places.
     */
    record EnginesInUse(Map<EndpointName, Integer> running, List<Demand> demands) implements BatchMessage {

        /**
         * Copies the lists.
         *
         * @param running The items that the sender has in progress, by engine.
         * @param demands The jobs that wait for places.
         */
        public EnginesInUse {
            running = Map.copyOf(running);
            demands = List.copyOf(demands);
        }
    }

    /**
     * A job that waits for places at engines.
     *
     * @param model The model.
     * @param submittedAt When the job was submitted, in milliseconds of the time of day.
     * @param waiting How many of its items wait.
     */
    record Demand(String model, long submittedAt, int waiting) {}

    /**
     * Says that the sender does not run the job or knows nothing of the item, such that the platform has to be asked.
     *
     * @param ticket The ticket of the request.
     */
    record ReadDeclined(long ticket) implements BatchMessage {}
}
