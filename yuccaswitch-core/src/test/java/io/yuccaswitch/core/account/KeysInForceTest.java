package io.yuccaswitch.core.account;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Compares the nodes with a simple model of the configurations while keys are added and removed in quick succession.
 * Meanwhile, platform calls fail, nodes restart, and the platform compacts its history. A failure means that a node
 * applies an outdated configuration for too long or reverts to an older one.
 */
final class KeysInForceTest {

    private static final int HISTORIES = 60;
    private static final int CHANGES = 25;
    private static final int KEYS = 6;
    private static final Duration MAXIMUM_CONFIGURATION_DELAY = Duration.ofSeconds(3);
    private static final List<String> NODES = List.of("node-1", "node-2", "node-3", "node-4", "node-5");

    @Test
    void everyNodeAppliesARecentConfigurationAndNeverRevertsToAnOlderOne() {
        for (int seed = 1; seed <= HISTORIES; seed++) {
            new History(seed).run();
        }
    }

    /** One random history. */
    private static final class History {

        private final int seed;
        private final Random random;
        private final TestSite site = new TestSite();
        private final Map<String, RouteConfigurationSystem> systems = new HashMap<>();
        private final Map<String, Long> appliedVersions = new HashMap<>();
        private final TreeMap<Long, Change> changes = new TreeMap<>();
        private final Map<Integer, Integer> accounts = new TreeMap<>();

        private History(int seed) {
            this.seed = seed;
            random = new Random(seed);
        }

        private void run() {
            site.connect((_from, _to) -> false);
            change();
            NODES.forEach(this::start);
            site.run(Duration.ofSeconds(2));
            for (int i = 0; i < CHANGES; i++) {
                change();
                injectFault();
                for (int step = 0; step < 5; step++) {
                    site.run(Duration.ofMillis(20 + random.nextInt(150)));
                    NODES.forEach(this::check);
                }
            }
            site.platform().failWhere((_node, _call) -> false);
            site.run(MAXIMUM_CONFIGURATION_DELAY);
            NODES.forEach(this::check);
        }

        private void start(String name) {
            appliedVersions.remove(name);
            site.start(name, (self, tokens) -> {
                RouteConfigurationSystem routes =
                        new RouteConfigurationSystem(new SharedWatches(self), tokens, KeysInForceTest::decode);
                systems.put(name, routes);
                return List.of(routes);
            });
        }

        private void change() {
            int key = random.nextInt(KEYS);
            if (accounts.remove(key) == null) {
                accounts.put(key, random.nextInt(3));
            }
            long version = (changes.isEmpty() ? 0 : changes.lastKey()) + 1 + random.nextInt(3);
            String text = version + " "
                    + accounts.entrySet().stream()
                            .map(entry -> entry.getKey() + "=" + entry.getValue())
                            .collect(Collectors.joining(","));
            site.platform().put(RouteConfigurationSystem.KIND, "main", text);
            changes.put(version, new Change(site.now().nanoseconds(), Map.copyOf(accounts)));
        }

        private void injectFault() {
            String name = NODES.get(random.nextInt(NODES.size()));
            switch (random.nextInt(6)) {
                case 0 -> site.platform().failWhere((node, _call) -> node.equals(name));
                case 1 -> start(name);
                case 2 -> site.platform().compact();
                case 3 -> site.platform().failWhere((_node, _call) -> random.nextInt(3) == 0);
                default -> site.platform().failWhere((_node, _call) -> false);
            }
        }

        private void check(String name) {
            Optional<RouteConfiguration> applied = systems.get(name).active();
            if (applied.isEmpty()) {
                return;
            }
            long version = applied.get().version();
            assertThat(version)
                    .as("seed %d, %s reverts to an older configuration", seed, name)
                    .isGreaterThanOrEqualTo(appliedVersions.getOrDefault(name, 0L));
            appliedVersions.put(name, version);
            long propagatedBy = site.now().nanoseconds() - MAXIMUM_CONFIGURATION_DELAY.toNanos();
            long minimumVersion = changes.entrySet().stream()
                    .filter(entry -> entry.getValue().acknowledgedAtNanos() <= propagatedBy)
                    .mapToLong(Map.Entry::getKey)
                    .max()
                    .orElse(0);
            for (int key = 0; key < KEYS; key++) {
                int asked = key;
                Set<Optional<Integer>> allowed = new HashSet<>();
                changes.tailMap(minimumVersion, true).values().forEach(change -> allowed.add(change.accountOf(asked)));
                assertThat(allowed)
                        .as("seed %d, key %d at %s under version %d", seed, key, name, version)
                        .contains(accountOf(applied.get(), key));
            }
        }

        private static Optional<Integer> accountOf(RouteConfiguration configuration, int key) {
            return configuration
                    .authenticateBatchCall(new Credential.Key(KeyDigest.of("key-" + key)), "site.example")
                    .flatMap(ClientAccount::name)
                    .map(name -> Integer.parseInt(name.value().substring(1)));
        }
    }

    private static Optional<RouteConfiguration> decode(StoredObject object) {
        String[] parts = object.value().toUtf8().split(" ", -1);
        Map<Integer, List<KeyDigest>> keys = new TreeMap<>();
        for (String key : parts[1].isEmpty() ? new String[0] : parts[1].split(",", -1)) {
            String[] pair = key.split("=", -1);
            keys.computeIfAbsent(Integer.parseInt(pair[1]), _account -> new ArrayList<>())
                    .add(KeyDigest.of("key-" + pair[0]));
        }
        List<Account> accounts = keys.entrySet().stream()
                .map(entry -> new Account(new AccountName("a" + entry.getKey()), OptionalInt.empty(), entry.getValue()))
                .toList();
        return Optional.of(new RouteConfiguration(
                Long.parseLong(parts[0]),
                List.of(),
                Map.of(),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)),
                AccountDirectory.of(accounts),
                Map.of()));
    }

    /** A configuration: when the platform acknowledged it, and the account of each key. */
    private record Change(long acknowledgedAtNanos, Map<Integer, Integer> accounts) {

        Optional<Integer> accountOf(int key) {
            return Optional.ofNullable(accounts.get(key));
        }
    }
}
