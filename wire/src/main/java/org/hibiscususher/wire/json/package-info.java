/** JSON encodings of records in the platform's store and of replies to operators. */
package org.hibiscususher.wire.json;
