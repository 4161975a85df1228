/**
 * Benchmarks in virtual time: how closely customers get their fair share of slots, how long
 * requests wait and how many slots stay idle; how long release notes take to be in force; how long
 * a maintenance wave takes.
 */
package org.hibiscususher.standin.bench;
