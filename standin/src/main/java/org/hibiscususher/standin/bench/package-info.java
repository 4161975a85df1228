/** Measurements in virtual time. */
package org.hibiscususher.standin.bench;
