package io.yuccaswitch.testkit.proxy;

/** The active faults of a link. Connections can wait for their change. */
final class ActiveFaults {

    /** The faults. */
    private LinkFaults faults = LinkFaults.NONE;

    /** Creates an object without active faults. */
    ActiveFaults() {}

    /**
     * Replaces the active faults.
     *
     * @param newFaults The faults.
     */
    synchronized void change(LinkFaults newFaults) {
        faults = newFaults;
        notifyAll();
    }

    /**
     * Returns the active faults.
     *
     * @return The faults.
     */
    synchronized LinkFaults current() {
        return faults;
    }

    /**
     * Waits until data is forwarded in a direction.
     *
     * @param direction The direction.
     * @return The faults that are active at that time.
     * @throws InterruptedException If the connection ends in the meantime.
     */
    synchronized LinkFaults awaitOpen(Direction direction) throws InterruptedException {
        while (faults.blocks(direction)) {
            wait();
        }
        return faults;
    }
}
