package org.hibiscususher.core.message;

/** The result of a call to reboot a host. */
public enum RebootResult {
    /** The platform reboots the host, or has done so under the same token. */
    ACCEPTED,
    /** The host has another boot id; the platform does nothing. */
    MISMATCH,
    /** No response came: the platform may be rebooting the host. */
    UNKNOWN
}
