package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.account.ClientAccount;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests the identifiers of batch jobs. */
final class BatchJobIdTest {

    @Test
    void theSameIdentifierOfTwoAccountsIdentifiesTwoJobs() {
        BatchJobId chosen = BatchJobId.chosen("job-1");
        BatchJobId first = chosen.ownedBy(named("first"));
        BatchJobId second = chosen.ownedBy(named("second"));
        assertThat(first).isNotEqualTo(second);
        assertThat(new BatchJobId(first.value()).account()).contains(new AccountName("first"));
    }

    @Test
    void aJobOfAnAnonymousCallerBelongsToNoAccount() {
        BatchJobId anonymous = BatchJobId.chosen("job-1").ownedBy(new ClientAccount.Anonymous());
        assertThat(anonymous.isChecked()).isTrue();
        assertThat(anonymous.account()).isEmpty();
        assertThat(anonymous).isNotEqualTo(BatchJobId.chosen("job-1"));
    }

    @Test
    void aChosenIdentifierThatContainsAnAccountIsRejected() {
        assertThatThrownBy(() -> BatchJobId.chosen("job-1~second")).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void aSiteWithoutAccountsKeepsTheChosenIdentifier() {
        BatchJobId id = BatchJobId.chosen("job-1").ownedBy(new ClientAccount.Unchecked());
        assertThat(id.value()).isEqualTo("job-1");
        assertThat(id.isChecked()).isFalse();
    }

    private static ClientAccount named(String name) {
        return new ClientAccount.Named(new AccountName(name), OptionalInt.empty());
    }
}
