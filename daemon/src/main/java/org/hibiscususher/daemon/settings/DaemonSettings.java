package org.hibiscususher.daemon.settings;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.world.ControlSettings;

/**
 * Settings of one entry, as given in its settings file.
 *
 * @param member member id, unique among the entries
 * @param zone availability zone in which the entry runs
 * @param callers IP number and port to listen on for callers
 * @param peers IP number and port to listen on for other entries
 * @param operators IP number and port to listen on for operators
 * @param platform IP number and port of the platform's store
 * @param control timeouts and limits of the control thread's decisions
 */
public record DaemonSettings(
        String member,
        String zone,
        String callers,
        String peers,
        String operators,
        String platform,
        ControlSettings control) {
    /** Rejects null components. */
    public DaemonSettings {
        requireNonNull(member);
        requireNonNull(zone);
        requireNonNull(callers);
        requireNonNull(peers);
        requireNonNull(operators);
        requireNonNull(platform);
        requireNonNull(control);
    }
}
