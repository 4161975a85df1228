/** The operators' command-line tool. */
package org.hibiscususher.cli;
