package io.yuccaswitch.node;

import io.yuccaswitch.node.operator.StatusSection;
import java.lang.management.ManagementFactory;
import java.util.Optional;

/** The part of the status document that shows the node, its release and its readiness. */
final class NodeStatus implements StatusSection {

    /** The release that is shown if the program does not run from a packaged archive. */
    private static final String UNPACKAGED_RELEASE = "unpackaged";

    /** The node's local settings. */
    private final NodeSettings settings;

    /** Supplies the identity and the readiness of the node. */
    private final NodeObserver observer;

    /**
     * Creates a new section.
     *
     * @param settings The node's local settings.
     * @param observer Supplies the identity and the readiness of the node.
     */
    NodeStatus(NodeSettings settings, NodeObserver observer) {
        this.settings = settings;
        this.observer = observer;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "node";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        String release = Optional.ofNullable(NodeStatus.class.getPackage().getImplementationVersion())
                .orElse(UNPACKAGED_RELEASE);
        return new Content(
                observer.identity().toString(),
                settings.availabilityZone().toString(),
                settings.region(),
                release,
                ManagementFactory.getRuntimeMXBean().getUptime(),
                observer.isReady());
    }

    /**
     * The content of the section.
     *
     * @param identity The node's name and incarnation.
     * @param availabilityZone The availability zone of the VM.
     * @param region The region of the VM.
     * @param release The release of the program.
     * @param uptimeMillis The milliseconds since the process started.
     * @param ready {@code true} if the node serves callers.
     */
    private record Content(
            String identity,
            String availabilityZone,
            String region,
            String release,
            long uptimeMillis,
            boolean ready) {}
}
