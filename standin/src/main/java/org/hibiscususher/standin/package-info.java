/** Stand-ins for the platform, targets and callers; not shipped. */
package org.hibiscususher.standin;
