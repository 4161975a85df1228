package org.hibiscususher.core.world;

/** How permits are shared among the entries. */
public enum EscrowPolicy {
    /** Each entry permanently gets an equal part; a baseline for measurements. */
    STATIC_SPLIT,
    /** Allocators grant and recall permits by demand. */
    ESCROW
}
