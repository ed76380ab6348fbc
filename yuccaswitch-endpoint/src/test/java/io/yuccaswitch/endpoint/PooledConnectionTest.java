package io.yuccaswitch.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.RawServer;
import io.yuccaswitch.testkit.service.ServiceOptions;
import io.yuccaswitch.testkit.service.ServiceStandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that pooled connections neither resend a request nor return the answer of another request. */
final class PooledConnectionTest {

    private final ClientFixture fixture = new ClientFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void aRequestOnAPooledConnectionThatBreaksAfterWritingMayHaveRun() throws IOException {
        try (RawServer server = new RawServer((request, id, connection) -> {
            if (request == 2) {
                connection.close();
            } else {
                RawServer.write(connection, RawServer.answer(id, "own"));
            }
        })) {
            assertThat(fixture.post(server.address(), "a")).isInstanceOf(AttemptResult.Complete.class);
            assertThat(fixture.post(server.address(), "b"))
                    .as(
                            "the second request used the pooled connection, which does not show whether the server was running")
                    .isEqualTo(new AttemptResult.MaybeRun(
                            FailureCodes.CONNECTION_LOST, Optional.empty(), new Loss(Loss.Cause.UNUSABLE, false)));
            assertThat(server.requests()).as("no request was resent").isEqualTo(2);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"503 Service Unavailable", "408 Request Timeout", "307 Temporary Redirect", "401 Unauthorized"})
    void anAnswerThatSuggestsARetryIsNotFollowed(String status) throws IOException {
        try (RawServer server = new RawServer((_request, id, connection) -> RawServer.write(
                connection,
                RawServer.answer(id, "later").replace("200 OK", status + "\r\nRetry-After: 0\r\nLocation: /other")))) {
            assertThat(fixture.post(server.address(), "a")).isInstanceOf(AttemptResult.Complete.class);
            assertThat(server.requests()).isEqualTo(1);
        }
    }

    @Test
    void aLateAnswerNeverReachesAnotherRequest() throws IOException {
        try (RawServer server = new RawServer((request, id, connection) -> {
            if (request == 1) {
                TimeUnit.MILLISECONDS.sleep(400);
            }
            RawServer.write(connection, RawServer.answer(id, "answer to " + id));
        })) {
            assertThat(fixture.post(server.address(), "a", Duration.ofMillis(150)))
                    .isEqualTo(new AttemptResult.MaybeRun(
                            FailureCodes.DEADLINE_EXCEEDED, Optional.empty(), new Loss(Loss.Cause.BROKEN_OFF, true)));
            for (int index = 0; index < 5; index++) {
                assertOwnAnswer(fixture.post(server.address(), "b" + index), "b" + index);
            }
        }
    }

    @Test
    void anUnreadAnswerInAPooledConnectionIsNotUsedForTheNextRequest() throws IOException {
        String foreign = RawServer.answer("other", "foreign");
        try (RawServer server = new RawServer((request, id, connection) ->
                RawServer.write(connection, RawServer.answer(id, "answer to " + id) + (request == 1 ? foreign : "")))) {
            assertOwnAnswer(fixture.post(server.address(), "a"), "a");
            assertOwnAnswer(fixture.post(server.address(), "b"), "b");
            assertOwnAnswer(fixture.post(server.address(), "c"), "c");
            assertThat(server.connections())
                    .as("the connection with the unread answer is not reused")
                    .isEqualTo(2);
            assertThat(server.requests()).as("no request was resent").isEqualTo(3);
        }
    }

    @Test
    void aCrossedAnswerIsDiscardedAndTheRequestIsNotResent() {
        try (ServiceStandIn service = new ServiceStandIn(new ServiceOptions())) {
            service.faults().set(Fault.CROSSED_ANSWERS, 1);
            assertThat(fixture.post(service.server().address(), "a"))
                    .isEqualTo(new AttemptResult.MaybeRun(FailureCodes.CROSSED_ANSWER, Optional.empty()));
            assertThat(service.runs()).containsExactly(Map.entry("a", 1));
        }
    }

    @Test
    void aCrossedRefusalIsNotTreatedAsNotRun() throws IOException {
        String body = "{\"error\":{\"code\":\"leaving\",\"ran\":\"no\"}}";
        try (RawServer server = new RawServer((_request, _id, connection) -> RawServer.write(
                connection, RawServer.answer("other", body).replace("200 OK", "503 Service Unavailable")))) {
            assertThat(fixture.post(server.address(), "a"))
                    .isEqualTo(new AttemptResult.MaybeRun(FailureCodes.CROSSED_ANSWER, Optional.empty()));
            assertThat(fixture.endpointEvents).isEmpty();
        }
    }

    @Test
    void anAnswerWithoutIdentifierIsRejected() throws IOException {
        try (RawServer server = new RawServer((_request, _id, connection) ->
                RawServer.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhose"))) {
            assertThat(fixture.post(server.address(), "a"))
                    .isEqualTo(new AttemptResult.MaybeRun(FailureCodes.UNIDENTIFIED_ANSWER, Optional.empty()));
        }
    }

    private static void assertOwnAnswer(AttemptResult result, String id) {
        assertThat(result).isInstanceOfSatisfying(AttemptResult.Complete.class, complete -> assertThat(
                        complete.body().toUtf8())
                .isEqualTo("answer to " + id));
    }
}
