package io.yuccaswitch.node;

import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.EndpointTable;
import io.yuccaswitch.core.weight.PublishedVersion;
import io.yuccaswitch.core.weight.VersionTable;
import io.yuccaswitch.node.operator.StatusSection;
import java.util.List;
import java.util.Map;

/** The part of the status document that shows endpoints and the weight versions that they hold. */
final class EndpointStatus implements StatusSection {

    /** The table of endpoints. */
    private final EndpointTable endpoints;

    /** The newest versions of the trainers. */
    private final VersionTable versions;

    /**
     * Creates a new section.
     *
     * @param endpoints The table of endpoints.
     * @param versions The newest versions of the trainers.
     */
    EndpointStatus(EndpointTable endpoints, VersionTable versions) {
        this.endpoints = endpoints;
        this.versions = versions;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "endpoints";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        return new Content(
                List.copyOf(versions.view()),
                endpoints.view().stream().map(EndpointStatus::row).toList());
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
     * The content of the section.
     *
     * @param published The newest versions of the trainers.
     * @param endpoints The endpoints.
     */
    private record Content(List<PublishedVersion> published, List<Row> endpoints) {}

    /**
     * An endpoint.
     *
     * @param name The endpoint's name.
     * @param address The endpoint's address.
     * @param availabilityZone The availability zone that it lies in.
     * @param condition Whether it takes new work.
     * @param loadedVersions The weight versions that it last reported, by model.
     */
    private record Row(
            String name, String address, String availabilityZone, String condition, Map<String, Long> loadedVersions) {}
}
