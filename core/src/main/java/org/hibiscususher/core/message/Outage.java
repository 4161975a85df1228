package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Why a host is taken out of service, and how far that has come.
 *
 * @param reason why
 * @param idle whether the host was found idle; from then on nothing runs on it
 * @param generation generation of the host's record for which this holds
 * @param target where the host goes; empty unless it moves
 * @param bootId boot id before the reboot; empty unless it reboots
 */
public record Outage(
        OutageReason reason, boolean idle, long generation, String target, String bootId) {
    /** Checks the fields. */
    public Outage {
        requireNonNull(reason);
        requireNonNull(target);
        requireNonNull(bootId);
    }

    /** Returns the beginning of a move to another pool. */
    public static Outage move(long generation, String target) {
        return new Outage(OutageReason.MOVE, false, generation, target, "");
    }

    /** Returns the beginning of a reboot. */
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
