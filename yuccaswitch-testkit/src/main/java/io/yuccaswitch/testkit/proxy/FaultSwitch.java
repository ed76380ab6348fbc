package io.yuccaswitch.testkit.proxy;

/** The faults of a link that are in force, for which connections can wait. */
final class FaultSwitch {

    /** The faults. */
    private LinkFaults faults = LinkFaults.NONE;

    /** Creates a switch with no faults in force. */
    FaultSwitch() {}

    /**
     * Puts other faults in force.
     *
     * @param newFaults The faults.
     */
    synchronized void change(LinkFaults newFaults) {
        faults = newFaults;
        notifyAll();
    }

    /**
     * Returns the faults that are in force.
     *
     * @return The faults.
     */
    synchronized LinkFaults current() {
        return faults;
    }

    /**
     * Waits until bytes are forwarded in a direction.
     *
     * @param direction The direction.
     * @return The faults that are in force then.
     * @throws InterruptedException If the connection ends meanwhile.
     */
    synchronized LinkFaults awaitOpen(Direction direction) throws InterruptedException {
        while (faults.blocks(direction)) {
            wait();
        }
        return faults;
    }
}
