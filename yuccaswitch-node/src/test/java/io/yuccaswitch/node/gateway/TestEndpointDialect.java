package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.modelversion.EngineReport;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderOutcome;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import okhttp3.Headers;
import okhttp3.Request;

/** A plain way to speak to endpoints: each answer is signed, and 503 means that nothing ran. */
final class TestEndpointDialect implements EndpointDialect {

    private static final int UNAVAILABLE = 503;

    @Override
    public String requestIdHeader() {
        return "Request-Id";
    }

    @Override
    public boolean passesOn(String name) {
        return true;
    }

    @Override
    public boolean concernsAccount(String name) {
        return false;
    }

    @Override
    public void identify(Request.Builder request, AccountName account) {}

    @Override
    public void address(Request.Builder request, EndpointName endpoint, Duration timeLeft) {}

    @Override
    public void resume(Request.Builder request, long lastEventId) {}

    @Override
    public boolean saysNotRun(int status, Headers headers) {
        return status == UNAVAILABLE;
    }

    @Override
    public boolean isMisdirected(int status) {
        return false;
    }

    @Override
    public Optional<String> signature(Headers headers) {
        return Optional.of("signed");
    }

    @Override
    public OptionalInt load(Headers headers) {
        return OptionalInt.empty();
    }

    @Override
    public OptionalLong version(Headers headers) {
        return OptionalLong.empty();
    }

    @Override
    public OptionalLong versionLine(String line) {
        return OptionalLong.empty();
    }

    @Override
    public boolean isImpossible(int status) {
        return false;
    }

    @Override
    public Request.Builder report(String address) {
        return new Request.Builder().url("http://" + address);
    }

    @Override
    public EngineReport readReport(byte[] body) {
        throw new UnsupportedOperationException("No reports are read here");
    }

    @Override
    public Request.Builder order(OrderEffect.LoadVersion order) {
        return new Request.Builder().url("http://" + order.engine().address());
    }

    @Override
    public Optional<OrderOutcome> orderOutcome(int status) {
        return Optional.empty();
    }
}
