/** Membership of the entries: joining, leaving, failure detection and messages between members. */
package org.hibiscususher.core.membership;
