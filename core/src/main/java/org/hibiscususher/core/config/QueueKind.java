package org.hibiscususher.core.config;

/** How long the work of a queue runs, which decides what slots it may take. */
public enum QueueKind {
    /** Short look-ups: may take every slot of the pool. */
    QUICK {
        @Override
        public int maxSlots(int poolSlots, int quickReserve) {
            return poolSlots;
        }
    },

    /** Long runs: leave the pool's quick reserve free. */
    LONG {
        @Override
        public int maxSlots(int poolSlots, int quickReserve) {
            return Math.max(0, poolSlots - quickReserve);
        }
    };

    /** Returns how many of the pool's slots work of this kind may hold at a time. */
    public abstract int maxSlots(int poolSlots, int quickReserve);
}
