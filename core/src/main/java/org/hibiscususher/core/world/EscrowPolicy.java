package org.hibiscususher.core.world;

/** How permits are shared among the entries. */
public enum EscrowPolicy {
    /** Each entry keeps an even part for good; a baseline to measure against. */
    STATIC_SPLIT,
    /** Allocators grant and recall permits by demand. */
    ESCROW
}
