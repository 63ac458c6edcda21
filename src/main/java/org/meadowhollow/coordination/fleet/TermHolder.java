package org.meadowhollow.coordination.fleet;

import java.util.List;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Machine;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Order;
import org.meadowhollow.bookkeeping.Placement;
import org.meadowhollow.bookkeeping.Session;
import org.meadowhollow.coordination.platform.Cloud;

/** The leader of a term, as far as the care for its machines has to do with it. */
public interface TermHolder {
    boolean isClosed();

    /** Whether all that earlier leaders recorded is known. */
    boolean isLoaded();

    /**
     * Whether to place, stop, rent and return: the lease certainly holds, and the workers are
     * heard.
     */
    boolean mayAct();

    /** Whether what is silent is so for its own reasons, as far as can be told. */
    boolean hearsWell();

    /** Whether a machine's report is overdue. */
    boolean isSilent(Machine machine, Moment now);

    List<Machine> machineList();

    /**
     * Seconds that a task of a job's kind takes on a machine that is still to be rented, until it
     * runs.
     */
    double readyS(JobSpec spec);

    double largestImageGb();

    /** Whether a kind of machine is closed in a zone by the calendar. */
    boolean isOut(String type, String zone);

    void listed(List<Cloud.Listed> list);

    /** Takes a machine, and all that was on it, as gone. */
    void gone(MachineId id, String why, boolean forget);

    /** Takes a task as gone that is proven to be, and was not stopped. */
    void lost(Machine machine, Placement placement, String why, Moment now);

    /** Stops a task so that it can save what it did. */
    void stopSaving(Placement placement, String why);

    /** Sends orders straight to a worker. */
    void send(Machine machine, Session session, List<Order> orders);
}
