package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.platform.ObjectKey;
import java.util.OptionalInt;

/** Where batch jobs lie on the platform. */
final class BatchObjects {

    /** The kind of the index, whose entries are small and whose existence accepts a job. */
    static final String INDEX = "batch-index";

    /** The kind of the jobs as they were submitted, each created once. */
    private static final String JOBS = "batch-job";

    /** What the kind of a job's results begins with. Each job has a kind of its own, such that it is read alone. */
    private static final String RESULTS = "batch-results-";

    /** What the kind of the texts of a job's items in progress begins with. */
    private static final String TEXTS = "batch-texts-";

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
        return RESULTS + id.value();
    }

    /**
     * Returns the key of results that are listed together.
     *
     * @param id The job.
     * @param number The number of the object, counted from 0 without gaps.
     * @return The key, whose names sort like the numbers.
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
        return TEXTS + id.value();
    }

    /**
     * Returns the key of texts that are kept together.
     *
     * @param id The job.
     * @param number The number of the object, counted from 0.
     * @return The key, whose names sort like the numbers.
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
     * Reads the number of an object with results from its name.
     *
     * @param name The name.
     * @return The number, or empty if the name bears none.
     */
    static OptionalInt number(String name) {
        try {
            return OptionalInt.of(Integer.parseInt(name));
        } catch (NumberFormatException _exception) {
            return OptionalInt.empty();
        }
    }
}
