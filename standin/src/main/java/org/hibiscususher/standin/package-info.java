/**
 * Fakes of the platform, the store, target hosts and callers, for tests, benchmarks and the quick
 * start. No part of a release.
 */
package org.hibiscususher.standin;
