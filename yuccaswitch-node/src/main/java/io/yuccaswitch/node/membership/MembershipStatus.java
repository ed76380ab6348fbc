package io.yuccaswitch.node.membership;

import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipStatistics;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.membership.PeerReport;
import io.yuccaswitch.node.operator.StatusSection;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The part of the status document that shows this node's view of the members. */
public final class MembershipStatus implements StatusSection {

    /** The membership. */
    private final MembershipSystem membership;

    /**
     * Creates a new section.
     *
     * @param membership The membership.
     */
    public MembershipStatus(MembershipSystem membership) {
        this.membership = membership;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "membership";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        List<Row> rows = membership.members().stream()
                .sorted(Comparator.comparing(Member::identity))
                .map(this::row)
                .toList();
        return new Content(
                membership.self().identity().toString(), membership.isUncertain(), rows, membership.statistics());
    }

    /**
     * Creates the row of a member.
     *
     * @param member The member.
     * @return The row.
     */
    private Row row(Member member) {
        Optional<PeerReport> report = membership.report(member.identity().name());
        return new Row(
                member.identity().toString(),
                member.availabilityZone().toString(),
                member.condition().toString(),
                member.entryAddress(),
                member.operatorAddress(),
                report.map(PeerReport::generation),
                report.flatMap(PeerReport::timeSincePlatformAnswer).map(Duration::toMillis));
    }

    /**
     * The content of the section.
     *
     * @param self This node's identity.
     * @param doubtful {@code true} if this node was paused and has not received a message from another one since.
     * @param members The members, including dead ones.
     * @param statistics The statistics since the process started.
     */
    private record Content(String self, boolean doubtful, List<Row> members, MembershipStatistics statistics) {}

    /**
     * A member.
     *
     * @param identity The member's identity.
     * @param availabilityZone The member's availability zone.
     * @param condition The member's condition as this node sees it.
     * @param entryAddress The member's address for callers.
     * @param operatorAddress The member's address for operators.
     * @param generation The highest generation of the configuration that the member last reported to hold.
     * @param platformLastHeardAgoMillis The milliseconds between the platform's last answer to the member and the
     *     member's last report.
     */
    private record Row(
            String identity,
            String availabilityZone,
            String condition,
            String entryAddress,
            String operatorAddress,
            Optional<Long> generation,
            Optional<Long> platformLastHeardAgoMillis) {}
}
