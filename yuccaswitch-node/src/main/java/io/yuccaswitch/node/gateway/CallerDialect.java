package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.ClientAccount;
import io.yuccaswitch.core.batch.BatchAnswer;
import io.yuccaswitch.core.batch.BatchJob;
import io.yuccaswitch.core.batch.BatchJobId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decodes the requests of callers, trainers and the platform's health checks, and encodes the answers. It makes no
 * decisions.
 */
public interface CallerDialect {

    /**
     * Returns the header that carries the identifier of a request.
     *
     * @return The header's name.
     */
    String requestIdHeader();

    /**
     * Returns the headers with one value that this node or endpoints read.
     *
     * @return The names of the headers that a request bears at most once.
     */
    List<String> singleHeaders();

    /**
     * Reads how long a caller waits for its answer.
     *
     * @param headers Returns the value of a header, or {@code null}.
     * @return The time, or empty if the caller does not state it.
     */
    Optional<Duration> timeLeft(Function<String, String> headers);

    /**
     * Returns whether a request queries the readiness of the node.
     *
     * @param path The path.
     * @return {@code true} if it does.
     */
    boolean isReadinessQuery(String path);

    /**
     * Returns whether a request queries the entry addresses.
     *
     * @param path The path.
     * @return {@code true} if it does.
     */
    boolean isAddressQuery(String path);

    /**
     * Writes the answer to a query of the entry addresses.
     *
     * @param addresses The addresses.
     * @param validity How long the answer may be used.
     * @return The body.
     */
    byte[] writeAddresses(List<String> addresses, Duration validity);

    /**
     * Reads a call about an accepted batch job.
     *
     * @param method The method.
     * @param path The path.
     * @param query Returns the value of a parameter, or {@code null}.
     * @param headers Returns the value of a header, or {@code null}.
     * @return The call, or empty if the request is not such a call.
     */
    Optional<BatchCall> batchCall(
            String method, String path, Function<String, String> query, Function<String, String> headers);

    /**
     * Reads a submitted batch job.
     *
     * @param envelope The properties of the submission outside its body.
     * @param body The body.
     * @return The job.
     * @throws MalformedCallException If the body is not a valid batch job. The message names the item and the field.
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
     * The properties of a submission outside its body.
     *
     * @param id The text of the job's identifier.
     * @param account The account of the job.
     * @param host The host.
     * @param path The path.
     * @param submittedAt When it arrived, in milliseconds since the epoch.
     * @param configurationVersion The version of the route configuration under which it is accepted.
     */
    record Envelope(
            String id, ClientAccount account, String host, String path, long submittedAt, long configurationVersion) {}

    /** A call about an accepted batch job. */
    sealed interface BatchCall {

        /**
         * Returns the call with the job identifier qualified by an account.
         *
         * @param account The account of the call.
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
