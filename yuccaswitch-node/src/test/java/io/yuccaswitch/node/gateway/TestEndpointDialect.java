package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.modelversion.EngineReport;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderOutcome;
import io.yuccaswitch.core.proxy.ReportedLoad;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import okhttp3.Headers;
import okhttp3.Request;

/**
 * A minimal endpoint dialect: each answer is signed, status 503 means that the request was not run, and each body is a
 * report.
 */
final class TestEndpointDialect implements EndpointDialect {

    static final String PRIORITY_HEADER = "Test-Priority";

    static final String VERSION_HEADER = "Test-Version";

    private static final int ACCEPTED = 202;

    private static final int UNAVAILABLE = 503;

    @Override
    public String requestIdHeader() {
        return "Request-Id";
    }

    @Override
    public boolean isForwarded(String _name) {
        return true;
    }

    @Override
    public boolean isAccountHeader(String _name) {
        return false;
    }

    @Override
    public void identify(Request.Builder _request, AccountName _account) {}

    @Override
    public void address(Request.Builder _request, EndpointName _endpoint, Duration _timeLeft) {}

    @Override
    public void prioritize(Request.Builder request, int priority) {
        request.header(PRIORITY_HEADER, Integer.toString(priority));
    }

    @Override
    public void resume(Request.Builder _request, long _lastEventId) {}

    @Override
    public boolean isNotRun(int status, Headers _headers) {
        return status == UNAVAILABLE;
    }

    @Override
    public boolean isMisdirected(int _status) {
        return false;
    }

    @Override
    public Optional<String> signature(Headers _headers) {
        return Optional.of("signed");
    }

    @Override
    public Optional<ReportedLoad> load(Headers _headers) {
        return Optional.empty();
    }

    @Override
    public OptionalLong version(Headers headers) {
        String version = headers.get(VERSION_HEADER);
        return version == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(version));
    }

    @Override
    public OptionalLong parseVersionLine(String _line) {
        return OptionalLong.empty();
    }

    @Override
    public boolean isImpossible(int _status) {
        return false;
    }

    @Override
    public Request.Builder report(String address) {
        return new Request.Builder().url("http://" + address);
    }

    @Override
    public EngineReport readReport(byte[] _body) {
        return new EngineReport(1, false, 0, Map.of());
    }

    @Override
    public Request.Builder order(OrderEffect.LoadVersion order) {
        return new Request.Builder().url("http://" + order.engine().address());
    }

    @Override
    public Optional<OrderOutcome> orderOutcome(int status) {
        return status == ACCEPTED ? Optional.of(OrderOutcome.STARTED) : Optional.empty();
    }
}
