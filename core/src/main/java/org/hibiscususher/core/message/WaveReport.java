package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The result of an operator's command and the state of the maintenance wave.
 *
 * @param ok whether the command was carried out
 * @param id id of the wave; empty if there is none
 * @param state its state, in lower case; empty if there is none
 * @param detail reason for the state, or why the command was not carried out
 * @param total number of hosts to reboot
 * @param done number of hosts that were rebooted and are back in service
 * @param out the hosts out of service now, in any pool and for any reason
 */
public record WaveReport(
        boolean ok,
        String id,
        String state,
        String detail,
        int total,
        int done,
        List<OutOfServiceHost> out) {
    /** Makes a defensive copy of the list. */
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
     * @param activity description of its present step, for operators
     * @param sinceMs how long the step has lasted as known to the entry, in milliseconds
     */
    public record OutOfServiceHost(String host, String pool, String activity, long sinceMs) {
        /** Rejects null components. */
        public OutOfServiceHost {
            requireNonNull(host);
            requireNonNull(pool);
            requireNonNull(activity);
        }
    }
}
