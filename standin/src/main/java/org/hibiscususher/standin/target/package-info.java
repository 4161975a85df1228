/** HTTP stand-in for the executor of a target host. */
package org.hibiscususher.standin.target;
