package io.yuccaswitch.core.sample;

/**
 * How far a trainer has come, as far as this node knows.
 *
 * @param step The step for which the trainer pulls, or a negative number if that is not known.
 * @param anyStep {@code true} if the trainer takes samples of any step, {@code false} if it names the step.
 * @param useVersion The weight version with which the trainer uses the samples that it takes now.
 * @param published The highest weight version that the trainer published.
 * @param versionsPerStep The number of versions that the trainer lately published in a step.
 */
record TrainerProgress(long step, boolean anyStep, long useVersion, long published, double versionsPerStep) {

    /** The progress of a trainer of which nothing is known. */
    static final TrainerProgress UNKNOWN = new TrainerProgress(-1, false, 0, 0, 1);

    /** The share of the newest observation in the number of versions in a step. */
    private static final double SMOOTHING = 0.3;

    /**
     * Returns this progress after a pull.
     *
     * @param pulledStep The step for which the trainer pulls, or {@link SampleMessage#ANY_STEP}.
     * @param pulledVersion The weight version with which the trainer uses the samples.
     * @return The progress, which never goes back.
     */
    TrainerProgress withPull(long pulledStep, long pulledVersion) {
        double rate = versionsPerStep;
        if (step >= 0 && pulledStep > step && pulledVersion >= useVersion) {
            double observed = (double) (pulledVersion - useVersion) / (pulledStep - step);
            rate = (1 - SMOOTHING) * versionsPerStep + SMOOTHING * observed;
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
     * @return The progress, which never goes back.
     */
    TrainerProgress withPublished(long version) {
        return new TrainerProgress(step, anyStep, useVersion, Math.max(published, version), versionsPerStep);
    }

    /**
     * Returns the step that the trainer takes samples for. Before its first pull that is taken to be the first step, so
     * that nothing is begun too early for a trainer that goes on at a later one.
     *
     * @param earliest The earliest step that has samples to generate, which counts if the trainer takes any step.
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
     * @param of The step.
     * @param current The step that the trainer takes samples for.
     * @return The expected version, never below the one that the trainer uses now.
     */
    long expectedUse(long of, long current) {
        long version = step >= 0 || anyStep ? useVersion : published;
        return version + Math.max(0, Math.round((of - current) * versionsPerStep));
    }
}
