/** A load tool that compares calls through an entry with calls straight to a target. */
package org.hibiscususher.standin.load;
