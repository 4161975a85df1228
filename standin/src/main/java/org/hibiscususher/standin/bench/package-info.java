/** An experiment on nearness to share, waits and stranded slots, in virtual time. */
package org.hibiscususher.standin.bench;
