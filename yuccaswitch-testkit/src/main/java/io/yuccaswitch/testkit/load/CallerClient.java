package io.yuccaswitch.testkit.load;

import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * A caller that follows the protocol of the entry addresses: it prefixes its request identifiers with the prefix of the
 * address that it uses, and after a timeout or a lost connection it sends the same request with the same identifier
 * through another address. It uses a new identifier only after a refusal that reports "not run", or if no connection
 * was established for the first attempt with an identifier.
 */
public final class CallerClient {

    /** The delay before a further attempt. */
    private static final long RETRY_DELAY_MILLIS = 200;

    /** The client, which never retries on its own. */
    private final OkHttpClient client;

    /** The entry addresses. */
    private final EntryDirectory directory;

    /** The bearer token of the caller, if any. */
    private final Optional<String> token;

    /** The source of suffixes of identifiers, which are unique across all callers. */
    private final Supplier<String> suffixes;

    /** The receiver of the record of each attempt. */
    private final Consumer<CallerAttempt> recorder;

    /**
     * Creates a new caller.
     *
     * @param client The client, which must not retry on its own.
     * @param directory The entry addresses.
     * @param token The bearer token of the caller, if any.
     * @param suffixes The source of suffixes of identifiers, which are unique across all callers.
     * @param recorder The receiver of the record of each attempt.
     */
    public CallerClient(
            OkHttpClient client,
            EntryDirectory directory,
            Optional<String> token,
            Supplier<String> suffixes,
            Consumer<CallerAttempt> recorder) {
        this.client = client;
        this.directory = directory;
        this.token = token;
        this.suffixes = suffixes;
        this.recorder = recorder;
    }

    /**
     * Executes a request with up to as many attempts as its kind allows.
     *
     * @param kind The kind of the request.
     * @return The last attempt, or empty if no valid address was available.
     */
    public Optional<CallerAttempt> call(LoadMix.Kind kind) {
        Optional<CallerAttempt> last = Optional.empty();
        Set<String> avoided = new HashSet<>();
        Optional<String> id = Optional.empty();
        for (int attempt = 0; attempt < kind.attempts(); attempt++) {
            if (attempt > 0 && !pause()) {
                return last;
            }
            Optional<EntryAddress> address = directory.pick(avoided);
            if (address.isEmpty()) {
                continue;
            }
            EntryAddress entry = address.get();
            String sent = id.orElseGet(() -> entry.requestIdPrefix() + suffixes.get());
            CallerAttempt made = attempt(kind, entry, sent);
            recorder.accept(made);
            last = Optional.of(made);
            if (made.end() == AttemptEnd.ANSWERED) {
                return last;
            }
            avoided.add(entry.node());
            boolean mayHaveBeenReceived = id.isPresent() || made.end() != AttemptEnd.NOT_CONNECTED;
            id = made.end() != AttemptEnd.NOT_RUN && mayHaveBeenReceived ? Optional.of(sent) : Optional.empty();
        }
        return last;
    }

    /**
     * Executes one attempt.
     *
     * @param kind The kind of the request.
     * @param entry The address to use.
     * @param id The identifier of the request.
     * @return The record of the attempt.
     */
    private CallerAttempt attempt(LoadMix.Kind kind, EntryAddress entry, String id) {
        long sentAt = System.currentTimeMillis();
        AnswerReader.Reading reading = exchange(kind, entry, id);
        return new CallerAttempt(
                id,
                entry.node(),
                kind.idempotent(),
                sentAt,
                System.currentTimeMillis(),
                reading.end(),
                reading.own(),
                reading.complete(),
                reading.detail());
    }

    /**
     * Sends a request and reads its answer.
     *
     * @param kind The kind of the request.
     * @param entry The address to use.
     * @param id The identifier of the request.
     * @return The result of reading the answer.
     */
    private AnswerReader.Reading exchange(LoadMix.Kind kind, EntryAddress entry, String id) {
        Request request = RequestWriter.write(kind, entry.address(), id, token);
        OkHttpClient limited = client.newBuilder()
                .callTimeout(kind.timeoutMillis(), TimeUnit.MILLISECONDS)
                .build();
        try (Response response = limited.newCall(request).execute()) {
            return AnswerReader.read(kind, id, response);
        } catch (ConnectException exception) {
            return AnswerReader.Reading.withoutAnswer(AttemptEnd.NOT_CONNECTED, exception);
        } catch (InterruptedIOException exception) {
            return AnswerReader.Reading.withoutAnswer(AttemptEnd.TIMED_OUT, exception);
        } catch (IOException exception) {
            return AnswerReader.Reading.withoutAnswer(AttemptEnd.CUT, exception);
        }
    }

    /**
     * Waits before a further attempt.
     *
     * @return {@code false} if the thread was interrupted.
     */
    private static boolean pause() {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
            return true;
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
