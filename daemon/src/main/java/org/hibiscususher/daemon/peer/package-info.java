/** Links to the other entries. */
package org.hibiscususher.daemon.peer;
