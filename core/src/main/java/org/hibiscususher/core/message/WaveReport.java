package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * How the maintenance wave stands, for operators.
 *
 * @param ok whether the operator's command was carried out
 * @param id the wave; empty if there is none
 * @param state its state; empty if there is none
 * @param detail why it stands there, or why the command was not carried out
 * @param total hosts to reboot
 * @param done hosts that are rebooted and in service again
 * @param out hosts out of service now, in any pool and for any reason
 */
public record WaveReport(
        boolean ok,
        String id,
        String state,
        String detail,
        int total,
        int done,
        List<OutOfServiceHost> out) {
    /** Copies the list. */
    public WaveReport {
        requireNonNull(id);
        requireNonNull(state);
        requireNonNull(detail);
        out = List.copyOf(out);
    }

    /**
     * A host that is out of service.
     *
     * @param host the host
     * @param pool the pool that it serves
     * @param activity what happens to it, for operators
     * @param sinceMs for how long, in milliseconds, as far as the entry knows
     */
    public record OutOfServiceHost(String host, String pool, String activity, long sinceMs) {
        /** Checks the fields. */
        public OutOfServiceHost {
            requireNonNull(host);
            requireNonNull(pool);
            requireNonNull(activity);
        }
    }
}
