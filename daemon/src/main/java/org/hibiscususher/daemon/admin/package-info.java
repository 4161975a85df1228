/** The operators' HTTP interface. */
package org.hibiscususher.daemon.admin;
