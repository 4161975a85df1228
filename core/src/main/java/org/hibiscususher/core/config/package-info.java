/**
 * The operators' configuration: immutable declarations of pools, hosts, teams, access keys and
 * queues, and the differences between its revisions.
 */
package org.hibiscususher.core.config;
