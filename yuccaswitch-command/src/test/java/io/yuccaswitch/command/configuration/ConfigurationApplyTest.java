package io.yuccaswitch.command.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.command.configuration.ApplyOutcome.Accepted;
import io.yuccaswitch.command.configuration.ApplyOutcome.ChangeIdInUse;
import io.yuccaswitch.command.configuration.ApplyOutcome.Lost;
import io.yuccaswitch.command.configuration.ApplyOutcome.TooLarge;
import io.yuccaswitch.command.configuration.ApplyOutcome.Unchanged;
import io.yuccaswitch.command.configuration.ApplyOutcome.Unknown;
import io.yuccaswitch.command.configuration.ApplyOutcome.Unreachable;
import io.yuccaswitch.command.configuration.FaultyObjectStore.Fault;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.ConfigurationDocument;
import java.time.Instant;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class ConfigurationApplyTest {

    private final FaultyObjectStore store = new FaultyObjectStore();

    private final ConfigurationApply apply = new ConfigurationApply(store, new RetryPauses.None());

    @Test
    void eachAcceptedChangeIsTheNextGenerationAndIsAddedToTheHistory() {
        assertThat(generationOf(change("rina", "a"))).isEqualTo(1);
        assertThat(generationOf(change("sujoy", "b"))).isEqualTo(2);
        assertThat(current().changeId()).isEqualTo("change-b");
        assertThat(history(1).changeId()).isEqualTo("change-a");
        assertThat(history(2).changeId()).isEqualTo("change-b");
        assertThat(store.writesOf(ConfigurationDocument.KEY)).isEqualTo(2);
    }

    @Test
    void contentThatIsAlreadyAcceptedIsNotWrittenAgain() {
        change("rina", "a");
        assertThat(apply.apply(request("sujoy", "a", "other", OptionalLong.empty())))
                .isInstanceOf(Unchanged.class);
        assertThat(store.writesOf(ConfigurationDocument.KEY)).isEqualTo(1);
    }

    @Test
    void aLostAnswerIsResolvedByReadingWithoutASecondWrite() {
        change("rina", "a");
        store.fail(Fault.ANSWER_LOST);
        assertThat(generationOf(change("rina", "b"))).isEqualTo(2);
        assertThat(store.writesOf(ConfigurationDocument.KEY)).isEqualTo(2);
        assertThat(history(2).changeId()).isEqualTo("change-b");
    }

    @Test
    void aLostRequestIsWrittenAgain() {
        change("rina", "a");
        store.fail(Fault.REQUEST_LOST, Fault.NOT_SENT);
        assertThat(generationOf(change("rina", "b"))).isEqualTo(2);
    }

    @Test
    void aChangeWithALostAnswerAndALaggingReplicaIsAcceptedOnce() {
        change("rina", "a");
        store.lag(store.object(ConfigurationDocument.KEY).orElseThrow());
        store.fail(Fault.ANSWER_LOST);
        assertThat(generationOf(change("rina", "b"))).isEqualTo(2);
        assertThat(current().generation()).isEqualTo(2);
    }

    @Test
    void anEarlierVersionReadFromAReplicaAfterALostAnswerIsNotMistakenForAnotherChange() {
        change("rina", "a");
        StoredObject first = store.object(ConfigurationDocument.KEY).orElseThrow();
        change("rina", "b");
        store.fail(Fault.ANSWER_LOST);
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> store.lag(first));
        assertThat(generationOf(change("rina", "c"))).isEqualTo(3);
        assertThat(current().changeId()).isEqualTo("change-c");
    }

    @Test
    void aConflictReportsTheAcceptedChangeAndTheDifferences() {
        change("rina", "a");
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> change("sujoy", "b"));
        ApplyOutcome outcome = change("rina", "c");
        assertThat(outcome).isInstanceOfSatisfying(Lost.class, lost -> {
            assertThat(lost.winner().author()).isEqualTo("sujoy");
            assertThat(lost.differences()).singleElement().hasToString("~ site = \"a\" -> \"b\"");
        });
        assertThat(current().changeId()).isEqualTo("change-b");
    }

    @Test
    void aLostAnswerFollowedByAnotherChangeIsStillReportedAsAccepted() {
        change("rina", "a");
        store.fail(Fault.ANSWER_LOST);
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> change("sujoy", "c"));
        assertThat(change("rina", "b")).isInstanceOfSatisfying(Accepted.class, accepted -> {
            assertThat(accepted.accepted().generation()).isEqualTo(2);
            assertThat(accepted.supersededBy().orElseThrow().author()).isEqualTo("sujoy");
        });
        assertThat(history(2).changeId()).isEqualTo("change-b");
    }

    @Test
    void aLostRequestFollowedByAnotherChangeIsReportedAsLost() {
        change("rina", "a");
        store.fail(Fault.REQUEST_LOST);
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> {
            change("sujoy", "c");
            change("sujoy", "d");
        });
        assertThat(change("rina", "b")).isInstanceOf(Lost.class);
        assertThat(history(2).changeId()).isEqualTo("change-c");
    }

    @Test
    void aLostAnswerThatCannotBeResolvedIsUnknownAndIsNotWrittenAgain() {
        change("rina", "a");
        store.fail(Fault.ANSWER_LOST);
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> store.readsFail(true));
        assertThat(change("rina", "b")).isEqualTo(new Unknown("change-b", 1, "scripted"));
        assertThat(store.writesOf(ConfigurationDocument.KEY)).isEqualTo(2);

        store.readsFail(false);
        change("sujoy", "c");
        ApplyOutcome resumed = apply.apply(
                new ApplyRequest(content("b"), "change-b", true, "rina", Instant.EPOCH, OptionalLong.of(1)));
        assertThat(generationOf(resumed)).isEqualTo(2);
        assertThat(current().changeId()).isEqualTo("change-c");
    }

    @Test
    void aResumedChangeThatWasNotAcceptedDoesNotUndoTheChangesOfOthers() {
        change("rina", "a");
        change("sujoy", "b");
        ApplyOutcome resumed = apply.apply(
                new ApplyRequest(content("c"), "change-c", true, "rina", Instant.EPOCH, OptionalLong.of(1)));
        assertThat(resumed).isInstanceOf(Lost.class);
        assertThat(current().changeId()).isEqualTo("change-b");
    }

    @Test
    void anIdentifierOfAnotherChangeIsRejected() {
        change("rina", "a");
        change("rina", "b");
        for (String used : new String[] {"a", "b"}) {
            ApplyOutcome outcome = apply.apply(new ApplyRequest(
                    content("c"), "change-" + used, true, "sujoy", Instant.EPOCH, OptionalLong.empty()));
            assertThat(outcome).isInstanceOf(ChangeIdInUse.class);
        }
    }

    @Test
    void aChangeBasedOnAnOlderGenerationIsRejected() {
        change("rina", "a");
        change("sujoy", "b");
        ApplyOutcome outcome = apply.apply(request("rina", "c", "change-c", OptionalLong.of(1)));
        assertThat(outcome).isInstanceOfSatisfying(Lost.class, lost -> assertThat(lost.differences())
                .hasSize(1));
    }

    @Test
    void aGenerationMissingInTheHistoryIsAddedByTheNextApply() {
        store.historyWritesFail(true);
        assertThat(change("rina", "a"))
                .isInstanceOfSatisfying(Accepted.class, accepted -> assertThat(accepted.warnings())
                        .hasSize(1));
        assertThat(change("rina", "b")).isInstanceOf(Unreachable.class);
        store.historyWritesFail(false);
        change("rina", "b");
        assertThat(history(1).changeId()).isEqualTo("change-a");
    }

    @Test
    void theHistoryRetainsALimitedNumberOfGenerations() {
        for (long i = 1; i <= ConfigurationHistory.RETAINED_GENERATIONS + 2; i++) {
            change("rina", "site-" + i);
        }
        assertThat(store.object(ConfigurationDocument.historyKey(2))).isEmpty();
        assertThat(store.object(ConfigurationDocument.historyKey(3))).isPresent();
    }

    @Test
    void anIncompleteHistoryListingReportsTheFailure() {
        change("rina", "a");
        change("rina", "b");
        change("rina", "c");
        store.beforeNextRead(() -> {});
        store.beforeNextRead(() -> store.readsFail(true));
        ConfigurationHistory.Listing listing = new ConfigurationHistory(store).newest(current(), 10);
        assertThat(listing.documents()).hasSize(2);
        assertThat(listing.failure()).contains("scripted");
    }

    @Test
    void generationsContinueFromTheHistoryIfTheObjectWasDeleted() {
        change("rina", "a");
        change("rina", "b");
        store.remove(ConfigurationDocument.KEY);
        assertThat(generationOf(change("rina", "c"))).isEqualTo(3);
    }

    @Test
    void aChangeThatExceedsTheMaximumSizeIsNotWritten() {
        String large = "x".repeat(ConfigurationApply.MAXIMUM_SIZE);
        assertThat(change("rina", large)).isInstanceOf(TooLarge.class);
        assertThat(store.writesOf(ConfigurationDocument.KEY)).isZero();
    }

    @Test
    void nothingIsWrittenWhileThePlatformCannotBeRead() {
        store.readsFail(true);
        assertThat(change("rina", "a")).isInstanceOf(Unreachable.class);
    }

    @Test
    void aPlatformThatReceivesNoWriteLeavesTheConfigurationUnchanged() {
        change("rina", "a");
        store.fail(new Fault[] {
            Fault.NOT_SENT, Fault.NOT_SENT, Fault.NOT_SENT, Fault.NOT_SENT,
            Fault.NOT_SENT, Fault.NOT_SENT, Fault.NOT_SENT, Fault.NOT_SENT
        });
        assertThat(change("rina", "b")).isInstanceOf(Unreachable.class);
        assertThat(current().changeId()).isEqualTo("change-a");
    }

    private ApplyOutcome change(String author, String site) {
        return apply.apply(request(author, site, "change-" + site, OptionalLong.empty()));
    }

    private static ApplyRequest request(String author, String site, String changeId, OptionalLong expected) {
        return new ApplyRequest(content(site), changeId, false, author, Instant.EPOCH, expected);
    }

    private static Bytes content(String site) {
        return Bytes.ofUtf8("{\"site\":\"" + site + "\"}");
    }

    private static long generationOf(ApplyOutcome outcome) {
        assertThat(outcome).isInstanceOf(Accepted.class);
        return ((Accepted) outcome).accepted().generation();
    }

    private ConfigurationDocument current() {
        return ConfigurationDocument.decode(
                        store.object(ConfigurationDocument.KEY).orElseThrow().value())
                .orElseThrow();
    }

    private ConfigurationDocument history(long generation) {
        return ConfigurationDocument.decode(store.object(ConfigurationDocument.historyKey(generation))
                        .orElseThrow()
                        .value())
                .orElseThrow();
    }
}
