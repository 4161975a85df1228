/**
 * Deterministic simulation of entries in virtual time. The entries run the production control code;
 * the links between them, the store, the platform, the targets and the callers are fakes.
 * Everything runs on the calling thread, and a run depends only on its seed and on the calls of the
 * test.
 */
package org.hibiscususher.standin.virtual;
