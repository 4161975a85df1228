package org.hibiscususher.daemon.settings;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.world.ControlSettings;

/**
 * The settings of one entry.
 *
 * @param member member id, unique among the entry hosts
 * @param zone availability zone
 * @param callers IP number and port where callers connect
 * @param peers IP number and port where other entries connect
 * @param operators IP number and port where operators connect
 * @param platform IP number and port of the platform's store
 * @param control times and limits of the decisions
 */
public record DaemonSettings(
        String member,
        String zone,
        String callers,
        String peers,
        String operators,
        String platform,
        ControlSettings control) {
    /** Checks the fields. */
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
