/** The path of a request through an entry: admission, placement, attempts and retries. */
package org.hibiscususher.core.request;
