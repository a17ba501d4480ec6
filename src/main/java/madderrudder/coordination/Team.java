package madderrudder.coordination;

import madderrudder.protocol.Resources;

/** A team: what it is guaranteed, and what its tasks may take at most. Memory is not shared out. */
public record Team(String name, Resources guaranteed, Resources limit) {
    /** Whether the team stays within its limit when it takes that much. */
    public boolean allows(Resources total) {
        return within(total, limit);
    }

    public boolean guarantees(Resources total) {
        return within(total, guaranteed);
    }

    private static boolean within(Resources total, Resources bound) {
        return total.milliCpus() <= bound.milliCpus() && total.milliGpus() <= bound.milliGpus();
    }
}
