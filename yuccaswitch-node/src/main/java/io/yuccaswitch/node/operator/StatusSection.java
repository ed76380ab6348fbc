package io.yuccaswitch.node.operator;

/** A part of the status document of a node. */
public interface StatusSection {

    /**
     * Returns the key of the section in the status document.
     *
     * @return The key of the section.
     */
    String name();

    /**
     * Returns the content of the section. This method is called on the thread of the decision loop, and must return
     * values that do not change afterwards.
     *
     * @return The content, a record or collection that Jackson can write.
     */
    Object content();
}
