/** HTTP interface for operators. */
package org.hibiscususher.daemon.admin;
