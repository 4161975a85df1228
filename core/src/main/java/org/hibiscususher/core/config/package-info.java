/**
 * The operators' configuration in force: immutable declarations of pools, hosts, teams and keys.
 */
package org.hibiscususher.core.config;
