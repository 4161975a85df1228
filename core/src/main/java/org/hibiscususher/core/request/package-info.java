/** A request's life: admission, placement, attempts, retries. */
package org.hibiscususher.core.request;
