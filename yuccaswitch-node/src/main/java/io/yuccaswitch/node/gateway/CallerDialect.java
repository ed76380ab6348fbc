package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.ClientAccount;
import io.yuccaswitch.core.batch.BatchAnswer;
import io.yuccaswitch.core.batch.BatchJob;
import io.yuccaswitch.core.batch.BatchJobId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** How callers, trainers and the platform's checks speak to a node. It decides nothing. */
public interface CallerDialect {

    /**
     * Returns the header that bears the identifier of a request.
     *
     * @return The header's name.
     */
    String requestIdHeader();

    /**
     * Reads how long a caller will wait.
     *
     * @param headers Returns the value of a header, or {@code null}.
     * @return The time, or empty if the caller does not tell.
     */
    Optional<Duration> timeLeft(Function<String, String> headers);

    /**
     * Recognises the question whether the node is ready.
     *
     * @param path The path.
     * @return {@code true} if it is that question.
     */
    boolean asksForReadiness(String path);

    /**
     * Recognises the question which entry addresses to use.
     *
     * @param path The path.
     * @return {@code true} if it is that question.
     */
    boolean asksForAddresses(String path);

    /**
     * Writes the answer to the question which entry addresses to use.
     *
     * @param addresses The addresses.
     * @param validity How long the answer may be used.
     * @return The body.
     */
    byte[] writeAddresses(List<String> addresses, Duration validity);

    /**
     * Recognises a call about a batch job that is accepted.
     *
     * @param method The method.
     * @param path The path.
     * @param query Returns the value of a parameter, or {@code null}.
     * @param headers Returns the value of a header, or {@code null}.
     * @return The call, or empty if it is none.
     */
    Optional<BatchCall> batchCall(
            String method, String path, Function<String, String> query, Function<String, String> headers);

    /**
     * Reads a batch job that is submitted.
     *
     * @param envelope What the call says beside its body.
     * @param body The body.
     * @return The job.
     * @throws MalformedCallException If it is no batch job. The message names the item and the field.
     */
    BatchJob readJob(Envelope envelope, byte[] body);

    /**
     * Writes results.
     *
     * @param results The results.
     * @return The body.
     */
    byte[] writeResults(BatchAnswer.Results results);

    /**
     * What a submission says beside its body.
     *
     * @param id The text of the job's identifier.
     * @param account Whose the job is.
     * @param host The host.
     * @param path The path.
     * @param submittedAt When it arrived, in milliseconds since the epoch.
     */
    record Envelope(String id, ClientAccount account, String host, String path, long submittedAt) {}

    /** A call about a batch job that is accepted. */
    sealed interface BatchCall {

        /**
         * Returns the call with the job that an account means by it.
         *
         * @param account Whose the call is.
         * @return The call.
         */
        BatchCall ownedBy(ClientAccount account);

        /**
         * Reads results.
         *
         * @param id The job.
         * @param position The position of the first result.
         * @param waitTime How long the answer may wait for a result.
         */
        record ReadResults(BatchJobId id, int position, Duration waitTime) implements BatchCall {

            @Override
            public BatchCall ownedBy(ClientAccount account) {
                return new ReadResults(id.ownedBy(account), position, waitTime);
            }
        }

        /**
         * Reads the body of an item.
         *
         * @param id The job.
         * @param item The item.
         */
        record ReadBody(BatchJobId id, String item) implements BatchCall {

            @Override
            public BatchCall ownedBy(ClientAccount account) {
                return new ReadBody(id.ownedBy(account), item);
            }
        }

        /**
         * Ends a job.
         *
         * @param id The job.
         */
        record End(BatchJobId id) implements BatchCall {

            @Override
            public BatchCall ownedBy(ClientAccount account) {
                return new End(id.ownedBy(account));
            }
        }
    }
}
