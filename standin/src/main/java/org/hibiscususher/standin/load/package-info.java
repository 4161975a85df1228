/**
 * A load generator that compares requests through an entry with requests sent directly to a target.
 */
package org.hibiscususher.standin.load;
