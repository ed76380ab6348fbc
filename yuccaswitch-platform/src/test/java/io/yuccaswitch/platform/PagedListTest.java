package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.javalin.Javalin;
import io.javalin.http.Context;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A platform that lists one kind in pages. */
@Timeout(60)
class PagedListTest {

    private static final String KIND = "job";
    private static final int PAGE_SIZE = 2;
    private static final PlatformEffect.ListKind LIST = new PlatformEffect.ListKind(1, PlatformPurpose.LEASE, KIND);

    private final AtomicInteger requests = new AtomicInteger();

    private int pages = 3;
    private int failingRequest = Integer.MAX_VALUE;
    private int failures;

    private final Javalin server = Javalin.create(config -> config.routes.get("/objects/{kind}", this::answerPage))
            .start("127.0.0.1", 0);

    private PlatformClient client = client(new PagingDialect());

    @AfterEach
    void close() {
        client.close();
        server.stop();
    }

    @Test
    void allPagesAreJoinedWithTheVersionOfTheFirst() {
        PlatformEvent.ObjectsListed listed = (PlatformEvent.ObjectsListed) list();
        assertThat(listed.objects().stream().map(object -> object.key().name()))
                .containsExactly("000000", "000001", "000002", "000003", "000004", "000005");
        assertThat(listed.version()).isEqualTo(1);
        assertThat(listed.more()).isFalse();
    }

    /** Guards against a list that is never answered, after which a node learns of no job or takeover any more. */
    @Test
    void aListOfThousandsOfPagesIsReadWithASmallStack() {
        pages = 5000;
        assertThat(((PlatformEvent.ObjectsListed) list()).objects()).hasSize(pages * PAGE_SIZE);
    }

    @Test
    void aLaterPageThatFailsForAShortTimeIsReadAgain() {
        failingRequest = 2;
        failures = 3;
        assertThat(((PlatformEvent.ObjectsListed) list()).objects()).hasSize(pages * PAGE_SIZE);
        assertThat(requests).hasValue(pages + failures);
    }

    @Test
    void aFirstPageThatFailsIsReportedAtOnce() {
        failingRequest = 1;
        failures = 1;
        assertThat(list()).isInstanceOf(PlatformEvent.Unavailable.class);
        assertThat(requests).hasValue(1);
    }

    /** Guards against a call that is never answered because the heap or the stack was exhausted. */
    @Test
    void anErrorWhileAnAnswerIsDecodedEndsTheCall() {
        for (Throwable error : List.of(
                new StackOverflowError("simulated"),
                new OutOfMemoryError("simulated"),
                new LinkageError("simulated"),
                new IllegalStateException("simulated"))) {
            client.close();
            client = client(new FailingDialect(error));
            assertThat(list()).as("%s", error).isInstanceOf(PlatformEvent.Unavailable.class);
        }
    }

    private PlatformEvent list() {
        return client.execute(LIST).timeout(30, TimeUnit.SECONDS).blockingGet();
    }

    private PlatformClient client(ObjectApiDialect dialect) {
        PlatformClientSettings settings = Calls.settings(server.port()).withRates(new CallRates(1e6, 1e6));
        return new PlatformClient(settings, new MetricRegistry(), dialect);
    }

    private void answerPage(Context context) {
        int request = requests.incrementAndGet();
        if (request >= failingRequest && request < failingRequest + failures) {
            context.status(503);
            return;
        }
        int first = Optional.ofNullable(context.queryParam("after"))
                .map(after -> Integer.parseInt(after) + 1)
                .orElse(0);
        context.result(Integer.toString(first));
    }

    /** Reads the number of the first object of a page. */
    private class PagingDialect implements ObjectApiDialect {

        @Override
        public Request request(PlatformEffect effect, boolean _probe) {
            PlatformEffect.ListKind list = (PlatformEffect.ListKind) effect;
            String query = list.after().map(after -> "?after=" + after).orElse("");
            return new Request.Builder()
                    .url("http://127.0.0.1:" + server.port() + "/objects/" + KIND + query)
                    .build();
        }

        @Override
        public PlatformEvent event(PlatformEffect effect, Answer answer) {
            int first = Integer.parseInt(answer.body().toUtf8());
            List<StoredObject> objects = new ArrayList<>();
            for (int i = first; i < first + PAGE_SIZE; i++) {
                objects.add(new StoredObject(new ObjectKey(KIND, "%06d".formatted(i)), 1, Bytes.EMPTY, false));
            }
            return new PlatformEvent.ObjectsListed(
                    effect.token(), objects, first + 1L, false, first + PAGE_SIZE < pages * PAGE_SIZE);
        }

        @Override
        public boolean guaranteesNotApplied(int _status) {
            return false;
        }
    }

    /** Throws an error for each answer. */
    private final class FailingDialect extends PagingDialect {

        private final Throwable error;

        private FailingDialect(Throwable error) {
            this.error = error;
        }

        @Override
        public PlatformEvent event(PlatformEffect _effect, Answer _answer) {
            if (error instanceof Error fatal) {
                throw fatal;
            }
            throw (RuntimeException) error;
        }
    }
}
