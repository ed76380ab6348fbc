package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class UnconfiguredKeeperTest {

    private static final NodeIdentity OTHER_NODE = new NodeIdentity(new NodeName("vm-2"), 1);

    @Test
    void aKeeperWithoutConfigurationRefusesAPullTemporarily() {
        SampleSystem system = new SampleSystem(
                new SingleNodeMembership(), new PlatformTokens(), new RequestClock(MonotonicTime.ZERO, 0));
        SampleMessage.Pull pull = new SampleMessage.Pull(1, new TrainerName("matcher"), "", 1, 0, 4, 1000);
        Tick tick = new Tick(
                MonotonicTime.ZERO, List.of(new PeerEvent.Received(OTHER_NODE, pull)), new SplittableRandom(1));

        system.afterRequests().run(tick);

        assertThat(tick.result().effects()).anySatisfy(effect -> {
            assertThat(effect).isInstanceOf(PeerEffect.Send.class);
            assertThat(((PeerEffect.Send) effect).message())
                    .isInstanceOfSatisfying(SampleMessage.PullRefused.class, refusal -> {
                        assertThat(refusal.code()).isEqualTo("not-ready");
                        assertThat(refusal.retryAfterMillis()).isPositive();
                    });
        });
    }

    /** A membership of one node. */
    private static final class SingleNodeMembership implements MembershipView {

        @Override
        public Member self() {
            return new Member(
                    new NodeIdentity(new NodeName("vm-1"), 1),
                    new AvailabilityZone("a"),
                    "local",
                    "peer",
                    "entry",
                    "operator",
                    MemberCondition.ALIVE);
        }

        @Override
        public Collection<Member> working() {
            return List.of(self());
        }

        @Override
        public Optional<Member> find(NodeName name) {
            return Optional.of(self()).filter(member -> member.identity().name().equals(name));
        }
    }
}
