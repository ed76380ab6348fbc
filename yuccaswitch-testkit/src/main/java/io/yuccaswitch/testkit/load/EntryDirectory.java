package io.yuccaswitch.testkit.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Knows which entry addresses to use: it asks any of them, and asks again well before the answer is no longer valid. An
 * address is never used past its validity.
 */
public final class EntryDirectory {

    /** The mapper of answers. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The share of the validity after which the answer is asked for again. */
    private static final double REFRESH_SHARE = 0.5;

    /** The time within which an address must answer. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** The client that asks. */
    private final OkHttpClient client;

    /** The addresses to ask if no other is known. */
    private final List<String> seeds;

    /** The availability zone of the caller. */
    private final String availabilityZone;

    /** The bearer token of the caller, or empty. */
    private final Optional<String> token;

    /** Counts the addresses that were given out, to take turns. */
    private final AtomicLong turn = new AtomicLong();

    /** The answer in use. */
    private volatile EntryAddress.Listing listing = new EntryAddress.Listing(0, List.of());

    /** The time at which the answer in use was asked for, on the monotonic clock. */
    private volatile long askedAt;

    /**
     * Creates a new directory.
     *
     * @param client The client that asks.
     * @param seeds The addresses to ask if no other is known.
     * @param availabilityZone The availability zone of the caller.
     * @param token The bearer token of the caller, or empty.
     */
    public EntryDirectory(OkHttpClient client, List<String> seeds, String availabilityZone, Optional<String> token) {
        this.client = client.newBuilder()
                .callTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .build();
        this.seeds = List.copyOf(seeds);
        this.availabilityZone = availabilityZone;
        this.token = token;
    }

    /**
     * Returns an address to use now.
     *
     * @param avoided The nodes to avoid if there are others.
     * @return The address, or empty if none is valid.
     */
    public Optional<EntryAddress> pick(Set<String> avoided) {
        refreshIfDue();
        if (ageMillis() >= listing.validForMillis()) {
            return Optional.empty();
        }
        List<EntryAddress> usable = listing.addresses().stream()
                .filter(address -> !avoided.contains(address.node()))
                .toList();
        List<EntryAddress> choice = usable.isEmpty() ? listing.addresses() : usable;
        if (choice.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(choice.get((int) (turn.getAndIncrement() % choice.size())));
    }

    /** Asks again if the answer in use is half way to its end. */
    private void refreshIfDue() {
        if (ageMillis() < listing.validForMillis() * REFRESH_SHARE) {
            return;
        }
        synchronized (this) {
            if (ageMillis() >= listing.validForMillis() * REFRESH_SHARE) {
                refresh();
            }
        }
    }

    /** Asks the known addresses and then the seeds, until one answers. */
    private void refresh() {
        Set<String> targets = new LinkedHashSet<>();
        List<EntryAddress> known = new ArrayList<>(listing.addresses());
        for (int index = 0; index < known.size(); index++) {
            targets.add(known.get((int) ((index + turn.get()) % known.size())).address());
        }
        targets.addAll(seeds);
        for (String target : targets) {
            long sentAt = System.nanoTime();
            Optional<EntryAddress.Listing> answer = ask(target);
            if (answer.isPresent() && !answer.get().addresses().isEmpty()) {
                listing = answer.get();
                askedAt = sentAt;
                return;
            }
        }
    }

    /**
     * Asks one address.
     *
     * @param target The address.
     * @return The answer, or empty if there is none.
     */
    private Optional<EntryAddress.Listing> ask(String target) {
        HttpUrl url = HttpUrl.get("http://" + target + "/v1/entry-addresses")
                .newBuilder()
                .addQueryParameter("availabilityZone", availabilityZone)
                .build();
        Request.Builder request = new Request.Builder().url(url);
        token.ifPresent(value -> request.header("Authorization", "Bearer " + value));
        try (Response response = client.newCall(request.build()).execute()) {
            return response.isSuccessful() ? decode(response.body().string()) : Optional.empty();
        } catch (IOException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Decodes an answer.
     *
     * @param body The body.
     * @return The answer, or empty if it can't be understood.
     */
    private static Optional<EntryAddress.Listing> decode(String body) {
        try {
            return Optional.of(MAPPER.readValue(body, EntryAddress.Listing.class));
        } catch (JsonProcessingException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Returns the age of the answer in use.
     *
     * @return The age in milliseconds.
     */
    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedAt);
    }
}
