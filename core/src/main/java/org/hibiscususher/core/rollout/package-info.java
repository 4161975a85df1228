/**
 * Roll-out of the configuration: commits release notes to the history in the platform's store,
 * activates new revisions on every entry, and tracks whether the active configuration is known to
 * be current.
 */
package org.hibiscususher.core.rollout;
