package org.hibiscususher.core.message;

/** What is known after a call to reboot a host. */
public enum RebootResult {
    /** The platform reboots the host, or has done so under the same token. */
    ACCEPTED,
    /** The boot id was another; the platform does nothing. */
    MISMATCH,
    /** No answer came: the platform may be rebooting the host. */
    UNKNOWN
}
