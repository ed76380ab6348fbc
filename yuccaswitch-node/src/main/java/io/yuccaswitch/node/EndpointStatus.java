package io.yuccaswitch.node;

import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.EndpointTable;
import io.yuccaswitch.node.operator.StatusSection;
import java.util.Map;

/** The part of the status document that shows endpoints and the weight versions that they have loaded. */
final class EndpointStatus implements StatusSection {

    /** The table of endpoints. */
    private final EndpointTable endpoints;

    /**
     * Creates a new section.
     *
     * @param endpoints The table of endpoints.
     */
    EndpointStatus(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "endpoints";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        return endpoints.view().stream().map(EndpointStatus::row).toList();
    }

    /**
     * Creates the row of an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The row.
     */
    private static Row row(Endpoint endpoint) {
        return new Row(
                endpoint.name().toString(),
                endpoint.address(),
                endpoint.availabilityZone().toString(),
                endpoint.condition().toString(),
                endpoint.loadedVersions());
    }

    /**
     * An endpoint.
     *
     * @param name The endpoint's name.
     * @param address The endpoint's address.
     * @param availabilityZone The endpoint's availability zone.
     * @param condition Whether the endpoint accepts new work.
     * @param loadedVersions The weight versions that the endpoint last reported, by model.
     */
    private record Row(
            String name, String address, String availabilityZone, String condition, Map<String, Long> loadedVersions) {}
}
