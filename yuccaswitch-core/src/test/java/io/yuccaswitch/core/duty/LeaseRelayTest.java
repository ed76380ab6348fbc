package io.yuccaswitch.core.duty;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LeaseRelayTest {

    private static final Member OTHER = member("node-2", 1);
    private static final LeaseValue VALUE = new LeaseValue(new NodeName("node-1"), 1, false, 1, 0);

    @Test
    void theAnswerToARenewalIsReceived() {
        Relaying node = new Relaying(1);
        DutyMessage.RenewLease sent = node.request();
        assertThat(node.receive(answerTo(sent))).isPresent();
    }

    /** Guards against a holder that takes the renewal of its earlier incarnation for its own. */
    @Test
    void theAnswerToARenewalOfAnEarlierIncarnationIsNotReceived() {
        DutyMessage.RenewLease earlier = new Relaying(1).request();
        Relaying restarted = new Relaying(2);
        restarted.request();
        assertThat(restarted.receive(answerTo(earlier))).isEmpty();
    }

    private static DutyMessage.RenewalAnswered answerTo(DutyMessage.RenewLease request) {
        return new DutyMessage.RenewalAnswered(request.ticket(), true, 7, Bytes.ofUtf8(""));
    }

    private static Member member(String name, long incarnation) {
        return new Member(
                new NodeIdentity(new NodeName(name), incarnation),
                new AvailabilityZone("zone-a"),
                "local",
                name,
                name,
                name,
                MemberCondition.ALIVE);
    }

    /** An incarnation of a node that relays its renewals through another node. */
    private static final class Relaying implements MembershipView {

        private final Member self;
        private final LeaseRelay relay;

        private Relaying(long incarnation) {
            self = member("node-1", incarnation);
            relay = new LeaseRelay(this);
        }

        private DutyMessage.RenewLease request() {
            return new DecisionCore(List.of(tick -> relay.requestRenewal(tick, 6, VALUE)), 1)
                    .tick(MonotonicTime.ZERO, List.of()).effects().stream()
                            .map(PeerEffect.Send.class::cast)
                            .map(send -> (DutyMessage.RenewLease) send.message())
                            .findFirst()
                            .orElseThrow();
        }

        private Optional<LeaseRelay.Outcome> receive(DutyMessage.RenewalAnswered answer) {
            List<LeaseRelay.Outcome> outcomes = new ArrayList<>();
            new DecisionCore(List.of(tick -> relay.receive(tick).ifPresent(outcomes::add)), 1)
                    .tick(MonotonicTime.ZERO, List.of(new PeerEvent.Received(OTHER.identity(), answer)));
            return outcomes.stream().findFirst();
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public Collection<Member> working() {
            return List.of(self, OTHER);
        }

        @Override
        public Optional<Member> find(NodeName name) {
            return working().stream()
                    .filter(member -> member.identity().name().equals(name))
                    .findFirst();
        }
    }
}
