/** Configuration on its way into force, and the freshness of what is in force. */
package org.hibiscususher.core.rollout;
