package io.yuccaswitch.core.sample;

/**
 * How far a trainer has come, as far as this node knows.
 *
 * @param step The step for which the trainer pulls, or a negative number if that is not known.
 * @param useVersion The weight version with which the trainer uses that step's samples.
 * @param published The highest weight version that the trainer published.
 * @param versionsPerStep The number of versions that the trainer lately published in a step.
 */
record TrainerProgress(long step, long useVersion, long published, double versionsPerStep) {

    /** The progress of a trainer of which nothing is known. */
    static final TrainerProgress UNKNOWN = new TrainerProgress(-1, 0, 0, 1);

    /** The share of the newest observation in the number of versions in a step. */
    private static final double SMOOTHING = 0.3;

    /**
     * Returns this progress after a pull.
     *
     * @param pulledStep The step for which the trainer pulls.
     * @param pulledVersion The weight version with which the trainer uses the samples.
     * @return The progress, which never goes back.
     */
    TrainerProgress withPull(long pulledStep, long pulledVersion) {
        double rate = versionsPerStep;
        if (step >= 0 && pulledStep > step && pulledVersion >= useVersion) {
            double observed = (double) (pulledVersion - useVersion) / (pulledStep - step);
            rate = (1 - SMOOTHING) * versionsPerStep + SMOOTHING * observed;
        }
        return new TrainerProgress(Math.max(step, pulledStep), Math.max(useVersion, pulledVersion), published, rate);
    }

    /**
     * Returns this progress after a publication.
     *
     * @param version The published version.
     * @return The progress, which never goes back.
     */
    TrainerProgress withPublished(long version) {
        return new TrainerProgress(step, useVersion, Math.max(published, version), versionsPerStep);
    }

    /**
     * Returns the weight version with which the trainer is expected to use the samples of a step.
     *
     * @param of The step.
     * @param firstStep The step that counts as current if the trainer has not pulled yet.
     * @return The expected version, never below the one that the trainer uses now.
     */
    long expectedUse(long of, long firstStep) {
        boolean pulled = step >= 0;
        long current = pulled ? step : firstStep;
        long version = pulled ? useVersion : published;
        return version + Math.max(0, Math.round((of - current) * versionsPerStep));
    }
}
