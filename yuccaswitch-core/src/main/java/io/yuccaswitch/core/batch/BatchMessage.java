package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;

/** What nodes tell each other about batch jobs. */
public sealed interface BatchMessage extends PeerMessage {

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
     * Hands on results that are kept on the platform.
     *
     * @param ticket The ticket of the request.
     * @param total The number of the job's items.
     * @param next The position behind the last result.
     * @param results The results.
     */
    record ResultsRead(long ticket, int total, int next, List<BatchResult> results) implements BatchMessage {}

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
     * @param body The body.
     */
    record BodyRead(long ticket, Bytes body) implements BatchMessage {}

    /**
     * Says that the sender does not run the job or knows nothing of the item, such that the platform has to be asked.
     *
     * @param ticket The ticket of the request.
     */
    record ReadDeclined(long ticket) implements BatchMessage {}
}
