/** Encodings: YAML for operators, JSON for the platform's store, protobuf between entries. */
package org.hibiscususher.wire;
