package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Why a host is taken out of service, and how far the outage has advanced.
 *
 * @param reason why
 * @param idle whether all slots of the host have been returned; from then on nothing runs on it
 * @param generation generation of the host's record to which the outage applies; it ends when the
 *     host's record gets another one
 * @param target pool to which the host moves; empty unless it moves
 * @param bootId boot id before the reboot; empty unless it reboots
 */
public record Outage(
        OutageReason reason, boolean idle, long generation, String target, String bootId) {
    /** Rejects null components. */
    public Outage {
        requireNonNull(reason);
        requireNonNull(target);
        requireNonNull(bootId);
    }

    /** Returns a new outage of a host that moves to another pool. */
    public static Outage move(long generation, String target) {
        return new Outage(OutageReason.MOVE, false, generation, target, "");
    }

    /** Returns a new outage of a host that is to be rebooted. */
    public static Outage reboot(long generation, String bootId) {
        return new Outage(OutageReason.WAVE, false, generation, "", bootId);
    }

    /** Returns a copy for a host that was found idle. */
    public Outage withIdle() {
        return new Outage(reason, true, generation, target, bootId);
    }

    /** Returns a copy with another boot id. */
    public Outage withBootId(String value) {
        return new Outage(reason, idle, generation, target, value);
    }
}
