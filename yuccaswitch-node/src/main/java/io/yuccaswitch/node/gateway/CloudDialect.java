package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.scaling.ScalingEffect;
import io.yuccaswitch.core.usage.UsageEffect;
import okhttp3.Request;

/** Encodes calls to the cloud and decodes the answers. It makes no decisions. */
public interface CloudDialect {

    /**
     * Writes a report of usage.
     *
     * @param address The address of the cloud as host:port.
     * @param report The report.
     * @return The request.
     */
    Request.Builder report(String address, UsageEffect.Report report);

    /**
     * Writes an order of endpoints.
     *
     * @param address The address of the cloud as host:port.
     * @param order The order.
     * @return The request.
     */
    Request.Builder order(String address, ScalingEffect.Order order);

    /**
     * Decodes the outcome of a call.
     *
     * @param status The status of the answer.
     * @return The outcome.
     */
    DutyOutcome outcome(int status);
}
