package io.yuccaswitch.node;

import io.yuccaswitch.node.operator.StatusSection;
import java.lang.management.ManagementFactory;
import java.util.Optional;

/** The part of the status document that names the node and its release. */
final class NodeStatus implements StatusSection {

    /** The release that is shown if the program was not packaged. */
    private static final String UNPACKAGED = "unpackaged";

    /** The node's local settings. */
    private final NodeSettings settings;

    /** What the threads of the shell see of the core. */
    private final NodeObserver observer;

    /**
     * Creates a new section.
     *
     * @param settings The node's local settings.
     * @param observer What the threads of the shell see of the core.
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
                .orElse(UNPACKAGED);
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
     * @param availabilityZone The availability zone that the VM lies in.
     * @param region The region that the VM lies in.
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
