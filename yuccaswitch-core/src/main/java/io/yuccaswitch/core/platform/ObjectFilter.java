package io.yuccaswitch.core.platform;

/** Selects the objects of a kind that nodes have to hold, so that a long list does not fill their memory. */
@FunctionalInterface
public interface ObjectFilter {

    /** Retains all objects. */
    ObjectFilter ALL = _object -> true;

    /**
     * Returns whether an object has to be held. It is called on any thread.
     *
     * @param object The object, which is not deleted.
     * @return {@code false} if a list of all objects may omit it.
     */
    boolean retains(StoredObject object);
}
