package io.yuccaswitch.core.sample;

/**
 * The progress of a trainer, as recorded at this node.
 *
 * @param step The step for which the trainer pulls, or a negative number if it is unknown.
 * @param anyStep {@code true} if the trainer pulls samples of any step, {@code false} if it specifies the step.
 * @param useVersion The weight version with which the trainer uses the samples that it currently receives.
 * @param published The highest weight version that the trainer published.
 * @param versionsPerStep The moving average of the number of versions by which the trainer advances per step.
 */
record TrainerProgress(long step, boolean anyStep, long useVersion, long published, double versionsPerStep) {

    /** The initial progress of a trainer, before any pull or publication was recorded. */
    static final TrainerProgress UNKNOWN = new TrainerProgress(-1, false, 0, 0, 1);

    /** The weight of the newest observation in the number of versions per step. */
    private static final double SMOOTHING_FACTOR = 0.3;

    /**
     * Returns this progress after a pull.
     *
     * @param pulledStep The step for which the trainer pulls, or {@link SampleMessage#ANY_STEP}.
     * @param pulledVersion The weight version with which the trainer uses the samples.
     * @return The progress, which never decreases.
     */
    TrainerProgress withPull(long pulledStep, long pulledVersion) {
        double rate = versionsPerStep;
        if (step >= 0 && pulledStep > step && pulledVersion >= useVersion) {
            double observed = (double) (pulledVersion - useVersion) / (pulledStep - step);
            rate = (1 - SMOOTHING_FACTOR) * versionsPerStep + SMOOTHING_FACTOR * observed;
        }
        return new TrainerProgress(
                Math.max(step, pulledStep),
                pulledStep == SampleMessage.ANY_STEP,
                Math.max(useVersion, pulledVersion),
                published,
                rate);
    }

    /**
     * Returns this progress after a publication.
     *
     * @param version The published version.
     * @return The progress, which never decreases.
     */
    TrainerProgress withPublished(long version) {
        return new TrainerProgress(step, anyStep, useVersion, Math.max(published, version), versionsPerStep);
    }

    /**
     * Returns the step for which the trainer currently pulls samples. Before its first pull, step zero is assumed, so
     * that no generation starts too early for a trainer that resumes at a later step.
     *
     * @param earliest The earliest step with samples to generate, which applies if the trainer pulls samples of any
     *     step.
     * @return The step.
     */
    long currentStep(long earliest) {
        return Math.max(0, anyStep ? Math.max(step, earliest) : step);
    }

    /**
     * Returns the newest weight version that engines may hold.
     *
     * @return The version.
     */
    long newestVersion() {
        return Math.max(published, useVersion);
    }

    /**
     * Returns the weight version with which the trainer is expected to use the samples of a step.
     *
     * @param usedStep The step.
     * @param current The step for which the trainer currently pulls samples.
     * @return The expected version, which is never less than the one that the trainer currently uses.
     */
    long expectedUse(long usedStep, long current) {
        long version = step >= 0 || anyStep ? useVersion : published;
        return version + Math.max(0, Math.round((usedStep - current) * versionsPerStep));
    }
}
