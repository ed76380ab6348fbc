package io.yuccaswitch.core.account;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the authentication of requests by their keys. */
final class AccountDirectoryTest {

    @Test
    void aSiteWithoutAccountsChecksNoKeys() {
        assertThat(AccountDirectory.NONE.authenticate(key("any"), false)).contains(new ClientAccount.Unchecked());
    }

    @Test
    void aKeyAuthenticatesItsAccountWithItsPriority() {
        AccountDirectory directory = AccountDirectory.of(List.of(
                account("first", "key-1"),
                new Account(new AccountName("second"), OptionalInt.of(1), List.of(KeyDigest.of("key-2")))));
        assertThat(directory.authenticate(key("key-2"), false))
                .contains(new ClientAccount.Named(new AccountName("second"), OptionalInt.of(1)));
    }

    @Test
    void aKeyOfTwoAccountsAuthenticatesNeither() {
        AccountDirectory directory =
                AccountDirectory.of(List.of(account("first", "shared", "own"), account("second", "shared")));
        assertThat(directory.authenticate(key("shared"), false)).isEmpty();
        assertThat(directory.authenticate(key("own"), false)).isPresent();
    }

    @Test
    void anAccountWithoutKeysCannotBeAuthenticated() {
        AccountDirectory directory = AccountDirectory.of(List.of(account("first")));
        assertThat(directory.authenticate(key("key-1"), false)).isEmpty();
        assertThat(directory.authenticate(new Credential.Absent(), false)).isEmpty();
    }

    @Test
    void anOpenRouteAcceptsAnonymousRequestsAndStillIdentifiesAccountsByKey() {
        AccountDirectory directory = AccountDirectory.of(List.of(account("first", "key-1")));
        assertThat(directory.authenticate(new Credential.Absent(), true)).contains(new ClientAccount.Anonymous());
        assertThat(directory.authenticate(new Credential.Unreadable(), true)).contains(new ClientAccount.Anonymous());
        assertThat(directory.authenticate(key("key-1"), true).flatMap(ClientAccount::name))
                .contains(new AccountName("first"));
    }

    @Test
    void toStringDoesNotRevealTheDigest() {
        assertThat(KeyDigest.of("secret").toString())
                .doesNotContain(KeyDigest.of("secret").value());
    }

    @Property(tries = 500)
    void afterAnySequenceOfKeyChangesARequestBelongsToTheCurrentHolderOfItsKey(
            @ForAll @Size(max = 40) List<@IntRange(max = 99) Integer> changes, @ForAll @IntRange(max = 9) int asked) {
        Map<Integer, Set<Integer>> holders = new HashMap<>();
        for (int change : changes) {
            Set<Integer> accounts = holders.computeIfAbsent(change % 10, _key -> new HashSet<>());
            int account = change / 10 % 5;
            if (!accounts.remove(account)) {
                accounts.add(account);
            }
        }
        List<Account> accounts = new ArrayList<>();
        for (int account = 0; account < 5; account++) {
            int name = account;
            accounts.add(account(
                    "a" + name,
                    holders.entrySet().stream()
                            .filter(holder -> holder.getValue().contains(name))
                            .map(holder -> "key-" + holder.getKey())
                            .toArray(String[]::new)));
        }
        Set<Integer> expected = holders.getOrDefault(asked, Set.of());
        Optional<String> found = AccountDirectory.of(accounts)
                .authenticate(key("key-" + asked), false)
                .flatMap(ClientAccount::name)
                .map(AccountName::value);
        assertThat(found)
                .isEqualTo(
                        expected.size() == 1
                                ? Optional.of("a" + expected.iterator().next())
                                : Optional.empty());
    }

    private static Credential key(String key) {
        return new Credential.Key(KeyDigest.of(key));
    }

    private static Account account(String name, String... keys) {
        return new Account(
                new AccountName(name),
                OptionalInt.empty(),
                List.of(keys).stream().map(KeyDigest::of).toList());
    }
}
