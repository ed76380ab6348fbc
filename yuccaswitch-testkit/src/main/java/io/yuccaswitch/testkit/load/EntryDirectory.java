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
 * Caches the list of entry addresses. It queries any of them, and refreshes the list well before it expires. An address
 * is never used after the list has expired.
 */
public final class EntryDirectory {

    /** The mapper of answers. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The share of the validity period after which the list is refreshed. */
    private static final double REFRESH_SHARE = 0.5;

    /** The timeout of a query. */
    private static final long QUERY_TIMEOUT_MILLIS = 1_000;

    /** The client that sends the queries. */
    private final OkHttpClient client;

    /** The addresses to query if no listed one answers. */
    private final List<String> seeds;

    /** The availability zone of the caller. */
    private final String availabilityZone;

    /** The bearer token of the caller, if any. */
    private final Optional<String> token;

    /** The number of addresses returned so far, for rotation among them. */
    private final AtomicLong returnedCount = new AtomicLong();

    /** The current list. */
    private volatile EntryAddress.Listing listing = new EntryAddress.Listing(0, List.of());

    /** The time at which the query for the current list was sent, in nanoseconds of the monotonic clock. */
    private volatile long queriedAt;

    /**
     * Creates a new directory.
     *
     * @param client The client that sends the queries.
     * @param seeds The addresses to query if no listed one answers.
     * @param availabilityZone The availability zone of the caller.
     * @param token The bearer token of the caller, if any.
     */
    public EntryDirectory(OkHttpClient client, List<String> seeds, String availabilityZone, Optional<String> token) {
        this.client = client.newBuilder()
                .callTimeout(QUERY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
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
        return Optional.of(choice.get((int) (returnedCount.getAndIncrement() % choice.size())));
    }

    /** Refreshes the list if half of its validity period has passed. */
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

    /** Queries the listed addresses and then the seeds, until one answers with a non-empty list. */
    private void refresh() {
        Set<String> targets = new LinkedHashSet<>();
        List<EntryAddress> listed = new ArrayList<>(listing.addresses());
        for (int index = 0; index < listed.size(); index++) {
            targets.add(listed.get((int) ((index + returnedCount.get()) % listed.size()))
                    .address());
        }
        targets.addAll(seeds);
        for (String target : targets) {
            long sentAt = System.nanoTime();
            Optional<EntryAddress.Listing> answer = query(target);
            if (answer.isPresent() && !answer.get().addresses().isEmpty()) {
                listing = answer.get();
                queriedAt = sentAt;
                return;
            }
        }
    }

    /**
     * Queries one address.
     *
     * @param target The address.
     * @return The answer, or empty if there is none.
     */
    private Optional<EntryAddress.Listing> query(String target) {
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
     * @return The answer, or empty if it is malformed.
     */
    private static Optional<EntryAddress.Listing> decode(String body) {
        try {
            return Optional.of(MAPPER.readValue(body, EntryAddress.Listing.class));
        } catch (JsonProcessingException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Returns the age of the current list.
     *
     * @return The age in milliseconds.
     */
    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - queriedAt);
    }
}
