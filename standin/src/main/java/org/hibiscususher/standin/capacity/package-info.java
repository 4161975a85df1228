/** A benchmark of the cost of the control code per entry, and its growth with the site's size. */
package org.hibiscususher.standin.capacity;
