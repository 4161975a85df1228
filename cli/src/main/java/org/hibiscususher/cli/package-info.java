/** The operators' command-line tool, a client of the daemon's HTTP interface for operators. */
package org.hibiscususher.cli;
