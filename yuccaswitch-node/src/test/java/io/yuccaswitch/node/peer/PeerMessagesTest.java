package io.yuccaswitch.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.ConfigurationMessage;
import io.yuccaswitch.core.endpoint.EndpointMessage;
import io.yuccaswitch.core.lease.LeaseMessage;
import io.yuccaswitch.core.membership.MembershipMessage;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.request.RequestMessage;
import io.yuccaswitch.core.sample.SampleMessage;
import io.yuccaswitch.core.weight.WeightMessage;
import io.yuccaswitch.protocol.PeerMessageRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;

final class PeerMessagesTest {

    private static final List<Class<? extends PeerMessage>> CONCEPTS = List.of(
            MembershipMessage.class,
            ConfigurationMessage.class,
            RequestMessage.class,
            SampleMessage.class,
            WeightMessage.class,
            LeaseMessage.class,
            EndpointMessage.class);

    @Test
    void everyMessageOfEveryConceptHasANumber() {
        PeerMessageRegistry registry = PeerMessages.registry();

        for (Class<? extends PeerMessage> concept : CONCEPTS) {
            for (Class<?> type : concept.getPermittedSubclasses()) {
                assertThat(registry.number(type.asSubclass(PeerMessage.class)))
                        .as(type.getName())
                        .isPresent();
            }
        }
    }
}
