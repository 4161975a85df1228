package org.hibiscususher.core.config;

/**
 * Classifies queues by how long their work runs, which decides how many slots of a pool it may use.
 *
 * <p>Without a reserve, long work could occupy all slots, and quick work would have to wait for a
 * long run to end.
 */
public enum QueueKind {
    /** Short look-ups, which may use every slot of the pool. */
    QUICK {
        @Override
        public int maxSlots(int poolSlots, int quickReserve) {
            return poolSlots;
        }
    },

    /** Long runs, which must leave the pool's quick reserve free. */
    LONG {
        @Override
        public int maxSlots(int poolSlots, int quickReserve) {
            return Math.max(0, poolSlots - quickReserve);
        }
    };

    /**
     * Returns how many of a pool's slots work of this kind may use at a time.
     *
     * @param poolSlots slots of the pool, 0 or more
     * @param quickReserve slots that long work must leave free, 0 or more
     */
    public abstract int maxSlots(int poolSlots, int quickReserve);
}
