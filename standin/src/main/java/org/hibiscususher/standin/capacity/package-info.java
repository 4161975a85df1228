/** Measures what control costs an entry, and how that grows with each size of a site. */
package org.hibiscususher.standin.capacity;
