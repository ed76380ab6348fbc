package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.modelversion.EngineReport;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderOutcome;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import okhttp3.Headers;
import okhttp3.Request;

/** How requests, reports and orders are written for endpoints, and what their answers say. It decides nothing. */
public interface EndpointDialect {

    /**
     * Returns the header that bears the identifier of a request, which endpoints echo.
     *
     * @return The header's name.
     */
    String requestIdHeader();

    /**
     * Returns whether a caller's header is passed on to endpoints.
     *
     * @param name The header's name.
     * @return {@code false} for headers that concern one connection only or that the node sets itself.
     */
    boolean passesOn(String name);

    /**
     * Returns whether a caller's header presents a key or names an account. At a site with accounts the node removes
     * it.
     *
     * @param name The header's name.
     * @return {@code true} if it does.
     */
    boolean concernsAccount(String name);

    /**
     * Tells the endpoint whose a request is.
     *
     * @param request The request.
     * @param account The account.
     */
    void identify(Request.Builder request, AccountName account);

    /**
     * Addresses a request to one start of an endpoint, which others must refuse.
     *
     * @param request The request.
     * @param endpoint The endpoint.
     * @param timeLeft How long the endpoint may take.
     */
    void address(Request.Builder request, EndpointName endpoint, Duration timeLeft);

    /**
     * Asks for the events of a stream behind the last one that arrived.
     *
     * @param request The request.
     * @param lastEventId The identifier of that event.
     */
    void resume(Request.Builder request, long lastEventId);

    /**
     * Returns whether an answer says that the request was not run.
     *
     * @param status The status.
     * @param headers The headers.
     * @return {@code true} if the endpoint promises it.
     */
    boolean saysNotRun(int status, Headers headers);

    /**
     * Returns whether the answer comes from another endpoint than the one that was addressed.
     *
     * @param status The status.
     * @return {@code true} if it does.
     */
    boolean isMisdirected(int status);

    /**
     * Returns the signature of an answer by its endpoint.
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
     * Returns the number of requests that an endpoint runs or that wait there.
     *
     * @param headers The headers of an answer.
     * @return The number, or empty if the endpoint does not tell.
     */
    OptionalInt load(Headers headers);

    /**
     * Returns the version of the weights under which an answer begins.
     *
     * @param headers The headers.
     * @return The version, or empty if they don't tell.
     */
    OptionalLong version(Headers headers);

    /**
     * Reads a line of an event that tells the version from that event on.
     *
     * @param line The line.
     * @return The version, or empty if the line tells something else.
     */
    OptionalLong versionLine(String line);

    /**
     * Returns whether a status says that an item of a batch job can never be run.
     *
     * @param status The status.
     * @return {@code true} if it does.
     */
    boolean isImpossible(int status);

    /**
     * Builds a call for an engine's report.
     *
     * @param address The engine's host and port.
     * @return The call.
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
     * Builds an order.
     *
     * @param order The order.
     * @return The call.
     */
    Request.Builder order(OrderEffect.LoadVersion order);

    /**
     * Reads the answer to an order.
     *
     * @param status The status.
     * @return The outcome, or empty if the status means none.
     */
    Optional<OrderOutcome> orderOutcome(int status);
}
