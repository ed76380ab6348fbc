package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The pages of a list, read one after the other. The joined list has the version of the first page, so that a watch
 * from this version misses no change.
 */
final class PagedList {

    /**
     * How often a later page may fail in a row. Reading the first pages again costs more calls than waiting, and a list
     * that is longer than the rate limit allows would otherwise never end.
     */
    private static final int MAXIMUM_FAILURES = 20;

    /** The delay before a page that failed is read again. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(250);

    /** The objects of the pages read so far. */
    private final List<StoredObject> objects = new ArrayList<>();

    /** The call for the next page. */
    private PlatformEffect.ListKind next;

    /** The version of the first page, or empty before it was read. */
    private Optional<Long> version = Optional.empty();

    /** How often the next page has failed. */
    private int failures;

    /** The answer to the call, or empty while there are more pages. */
    private Optional<PlatformEvent> result = Optional.empty();

    /**
     * Creates a list that has read no page.
     *
     * @param list The call.
     */
    PagedList(PlatformEffect.ListKind list) {
        next = list;
    }

    /**
     * Returns the call for the next page.
     *
     * @return The call.
     */
    PlatformEffect.ListKind next() {
        return next;
    }

    /**
     * Returns how long to wait before the next call.
     *
     * @return The delay, which is zero unless the page has failed.
     */
    Duration delay() {
        return failures == 0 ? Duration.ZERO : FAILURE_DELAY;
    }

    /**
     * Returns whether no further call is needed.
     *
     * @return {@code true} if the result is available.
     */
    boolean isComplete() {
        return result.isPresent();
    }

    /**
     * Returns the answer to the call.
     *
     * @return The joined list, or the failure of a page.
     */
    PlatformEvent result() {
        return result.orElseThrow();
    }

    /**
     * Processes the answer to the call for the next page.
     *
     * @param event The answer.
     */
    void receive(PlatformEvent event) {
        if (!(event instanceof PlatformEvent.ObjectsListed page)) {
            failures++;
            if (version.isEmpty() || failures > MAXIMUM_FAILURES) {
                result = Optional.of(event);
            }
            return;
        }
        failures = 0;
        version = version.or(() -> Optional.of(page.version()));
        page.objects().stream().filter(next.filter()::retains).forEach(objects::add);
        if (page.more() && !page.objects().isEmpty()) {
            List<StoredObject> last = page.objects();
            next = next.withAfter(last.get(last.size() - 1).key().name());
        } else {
            result = Optional.of(
                    new PlatformEvent.ObjectsListed(page.token(), objects, version.get(), page.reset(), false));
        }
    }
}
