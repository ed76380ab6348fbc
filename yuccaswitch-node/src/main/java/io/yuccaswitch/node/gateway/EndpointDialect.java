package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.modelversion.EngineReport;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderOutcome;
import io.yuccaswitch.core.proxy.ReportedLoad;
import io.yuccaswitch.http.EscapedBytes;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import okhttp3.Headers;
import okhttp3.Request;

/** Encodes requests, report queries and orders for endpoints, and decodes their answers. It makes no decisions. */
public interface EndpointDialect {

    /**
     * Returns the header that carries the identifier of a request, which endpoints echo.
     *
     * @return The header's name.
     */
    String requestIdHeader();

    /**
     * Returns whether an answer states that it belongs to a request, and to no other one.
     *
     * @param headers The headers of the answer.
     * @param requestId The identifier of the request.
     * @return {@code false} if the identifier is missing, stated twice, or that of another request.
     */
    default boolean belongsTo(Headers headers, String requestId) {
        return headers.values(requestIdHeader()).equals(List.of(requestId));
    }

    /**
     * Describes the identifiers that an answer states.
     *
     * @param headers The headers of the answer.
     * @return The identifiers, escaped and of limited length.
     */
    default String describeIdentifiers(Headers headers) {
        return EscapedBytes.of(headers.values(requestIdHeader()).toString());
    }

    /**
     * Returns whether a header of a caller is forwarded to endpoints.
     *
     * @param name The header's name.
     * @return {@code false} for hop-by-hop headers and for headers that the node sets itself.
     */
    boolean isForwarded(String name);

    /**
     * Returns whether a header of a caller carries a key or names an account. At a site with accounts the node removes
     * such headers.
     *
     * @param name The header's name.
     * @return {@code true} if it does.
     */
    boolean isAccountHeader(String name);

    /**
     * Adds the account of a request to it.
     *
     * @param request The request.
     * @param account The account.
     */
    void identify(Request.Builder request, AccountName account);

    /**
     * Addresses a request to one incarnation of an endpoint. Other endpoints and incarnations must reject it.
     *
     * @param request The request.
     * @param endpoint The endpoint.
     * @param timeLeft How long the endpoint may take.
     */
    void address(Request.Builder request, EndpointName endpoint, Duration timeLeft);

    /**
     * Adds the priority of a request, by which an endpoint admits and preempts requests.
     *
     * @param request The request.
     * @param priority The priority, where 0 is the most urgent.
     */
    void prioritize(Request.Builder request, int priority);

    /**
     * Requests that a stream resumes after the last event that was received.
     *
     * @param request The request.
     * @param lastEventId The identifier of that event.
     */
    void resume(Request.Builder request, long lastEventId);

    /**
     * Returns whether an answer states that the request was not run.
     *
     * @param status The status.
     * @param headers The headers.
     * @return {@code true} if the endpoint guarantees that it was not run.
     */
    boolean isNotRun(int status, Headers headers);

    /**
     * Returns whether the answer comes from another endpoint than the one that was addressed.
     *
     * @param status The status.
     * @return {@code true} if it does.
     */
    boolean isMisdirected(int status);

    /**
     * Returns the signature that the endpoint added to its answer.
     *
     * @param headers The headers.
     * @return The signature, or empty if there is none.
     */
    Optional<String> signature(Headers headers);

    /**
     * Returns whether an answer is signed by its endpoint.
     *
     * @param headers The headers.
     * @return {@code true} if it is.
     */
    default boolean isSigned(Headers headers) {
        return signature(headers).isPresent();
    }

    /**
     * Returns the number of requests that an endpoint runs or has queued.
     *
     * @param headers The headers of an answer.
     * @return The number, or empty if the endpoint does not report it.
     */
    Optional<ReportedLoad> load(Headers headers);

    /**
     * Returns the version of the weights that produced the start of an answer.
     *
     * @param headers The headers.
     * @return The version, or empty if the headers don't state it.
     */
    OptionalLong version(Headers headers);

    /**
     * Reads a line of an event that states the version of the weights from that event on.
     *
     * @param line The line.
     * @return The version, or empty if the line has another field.
     */
    OptionalLong parseVersionLine(String line);

    /**
     * Returns whether a status means that an item of a batch job can never be run.
     *
     * @param status The status.
     * @return {@code true} if it does.
     */
    boolean isImpossible(int status);

    /**
     * Builds a request for the report of an engine.
     *
     * @param address The engine's host and port.
     * @return The request.
     */
    Request.Builder report(String address);

    /**
     * Reads an engine's report.
     *
     * @param body The body of the answer.
     * @return The report.
     * @throws IOException If it can't be read.
     */
    EngineReport readReport(byte[] body) throws IOException;

    /**
     * Builds the request of an order.
     *
     * @param order The order.
     * @return The request.
     */
    Request.Builder order(OrderEffect.LoadVersion order);

    /**
     * Reads the answer to an order.
     *
     * @param status The status.
     * @return The outcome, or empty if the status has no defined outcome.
     */
    Optional<OrderOutcome> orderOutcome(int status);
}
