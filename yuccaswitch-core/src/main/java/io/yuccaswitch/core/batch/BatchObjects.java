package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.platform.ObjectKey;
import java.util.OptionalInt;

/** The kinds and keys of the objects of batch jobs on the platform. */
final class BatchObjects {

    /** The kind of the index entries, which are small. The existence of an entry means that its job is accepted. */
    static final String INDEX = "batch-index";

    /** The kind of the jobs as they were submitted, each created once. */
    private static final String JOBS = "batch-job";

    /**
     * The prefix of the kind of a job's results. Each job has its own kind, so that its results are read separately.
     */
    private static final String RESULTS_PREFIX = "batch-results-";

    /** The prefix of the kind of the texts of a job's items in progress. */
    private static final String TEXTS_PREFIX = "batch-texts-";

    /** This class has no instances. */
    private BatchObjects() {}

    /**
     * Returns the key of a job's entry in the index.
     *
     * @param id The job.
     * @return The key.
     */
    static ObjectKey index(BatchJobId id) {
        return new ObjectKey(INDEX, id.value());
    }

    /**
     * Returns the key of a job as it was submitted.
     *
     * @param id The job.
     * @return The key.
     */
    static ObjectKey job(BatchJobId id) {
        return new ObjectKey(JOBS, id.value());
    }

    /**
     * Returns the kind of a job's results.
     *
     * @param id The job.
     * @return The kind.
     */
    static String results(BatchJobId id) {
        return RESULTS_PREFIX + id.value();
    }

    /**
     * Returns the key of an object with results.
     *
     * @param id The job.
     * @param number The number of the object, counted from 0 without gaps.
     * @return The key. The names of the keys sort in the order of the numbers.
     */
    static ObjectKey results(BatchJobId id, int number) {
        return new ObjectKey(results(id), name(number));
    }

    /**
     * Returns the kind of the texts of a job's items in progress.
     *
     * @param id The job.
     * @return The kind.
     */
    static String texts(BatchJobId id) {
        return TEXTS_PREFIX + id.value();
    }

    /**
     * Returns the key of an object with texts.
     *
     * @param id The job.
     * @param number The number of the object, counted from 0.
     * @return The key. The names of the keys sort in the order of the numbers.
     */
    static ObjectKey texts(BatchJobId id, int number) {
        return new ObjectKey(texts(id), name(number));
    }

    /**
     * Returns the name of an object with results.
     *
     * @param number The number of the object.
     * @return The name.
     */
    static String name(int number) {
        return String.format("%06d", number);
    }

    /**
     * Parses the number of an object with results from its name.
     *
     * @param name The name.
     * @return The number, or empty if the name is not a number.
     */
    static OptionalInt number(String name) {
        try {
            return OptionalInt.of(Integer.parseInt(name));
        } catch (NumberFormatException _exception) {
            return OptionalInt.empty();
        }
    }
}
