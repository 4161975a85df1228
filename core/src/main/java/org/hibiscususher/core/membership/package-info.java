/** Membership of entries: joining, leaving, silence and death. */
package org.hibiscususher.core.membership;
