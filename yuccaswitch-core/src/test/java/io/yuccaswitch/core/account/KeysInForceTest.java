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
 * Keys that are given and taken away in quick succession, at several nodes of which some are turned away by the
 * platform, start again, or meet a platform that has forgotten its history: each node answers as a plain model of the
 * configurations allows.
 */
final class KeysInForceTest {

    private static final int HISTORIES = 60;
    private static final int CHANGES = 25;
    private static final int KEYS = 6;
    private static final Duration IN_FORCE = Duration.ofSeconds(3);
    private static final List<String> NODES = List.of("node-1", "node-2", "node-3", "node-4", "node-5");

    @Test
    void everyNodeAnswersByAConfigurationThatMayBeInForceAndNeverByAnOlderOneAgain() {
        for (int seed = 1; seed <= HISTORIES; seed++) {
            new History(seed).play();
        }
    }

    /** One history. */
    private static final class History {

        private final int seed;
        private final Random random;
        private final TestSite site = new TestSite();
        private final Map<String, RouteConfigurationSystem> systems = new HashMap<>();
        private final Map<String, Long> heldVersions = new HashMap<>();
        private final TreeMap<Long, Change> changes = new TreeMap<>();
        private final Map<Integer, Integer> accounts = new TreeMap<>();

        private History(int seed) {
            this.seed = seed;
            random = new Random(seed);
        }

        private void play() {
            site.connect((_from, _to) -> false);
            change();
            NODES.forEach(this::start);
            site.run(Duration.ofSeconds(2));
            for (int i = 0; i < CHANGES; i++) {
                change();
                strike();
                for (int step = 0; step < 5; step++) {
                    site.run(Duration.ofMillis(20 + random.nextInt(150)));
                    NODES.forEach(this::check);
                }
            }
            site.platform().failWhere((_node, _call) -> false);
            site.run(IN_FORCE);
            NODES.forEach(this::check);
        }

        private void start(String name) {
            heldVersions.remove(name);
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

        private void strike() {
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
            Optional<RouteConfiguration> held = systems.get(name).inForce();
            if (held.isEmpty()) {
                return;
            }
            long version = held.get().version();
            assertThat(version)
                    .as("seed %d, %s goes back", seed, name)
                    .isGreaterThanOrEqualTo(heldVersions.getOrDefault(name, 0L));
            heldVersions.put(name, version);
            long old = site.now().nanoseconds() - IN_FORCE.toNanos();
            long least = changes.entrySet().stream()
                    .filter(entry -> entry.getValue().at() <= old)
                    .mapToLong(Map.Entry::getKey)
                    .max()
                    .orElse(0);
            for (int key = 0; key < KEYS; key++) {
                int asked = key;
                Set<Optional<Integer>> allowed = new HashSet<>();
                changes.tailMap(least, true).values().forEach(change -> allowed.add(change.accountOf(asked)));
                assertThat(allowed)
                        .as("seed %d, key %d at %s under version %d", seed, key, name, version)
                        .contains(accountOf(held.get(), key));
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

    /** A configuration: when the platform acknowledged it, and the accounts by their keys. */
    private record Change(long at, Map<Integer, Integer> accounts) {

        Optional<Integer> accountOf(int key) {
            return Optional.ofNullable(accounts.get(key));
        }
    }
}
