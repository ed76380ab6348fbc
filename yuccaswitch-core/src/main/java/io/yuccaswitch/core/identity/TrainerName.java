package io.yuccaswitch.core.identity;

/**
 * The name of a trainer.
 *
 * @param value The name as text: letters, digits, dots, hyphens and underscores.
 */
public record TrainerName(String value) implements Comparable<TrainerName> {

    /** Checks the name. */
    public TrainerName {
        Names.check(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(TrainerName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
