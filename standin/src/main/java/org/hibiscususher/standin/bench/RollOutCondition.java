package org.hibiscususher.standin.bench;

import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.virtual.VirtualSite;

/** Under what faults a roll-out is measured. */
enum RollOutCondition {
    /** No faults. */
    HEALTHY("healthy") {
        @Override
        void begin(VirtualSite site) {
            // Nothing fails.
        }
    },
    /** Every answer and event of the store comes 800 ms late. */
    SLOW_STORE("store 800 ms late") {
        @Override
        void begin(VirtualSite site) {
            site.store().setFault(StoreFault.SLOW);
        }
    },
    /** One entry's process has ended. */
    MEMBER_DEAD("a member dead") {
        @Override
        void begin(VirtualSite site) {
            site.kill("e9");
        }
    },
    /** One entry's process is paused, and its connections stay open. */
    MEMBER_PAUSED("a member paused") {
        @Override
        void begin(VirtualSite site) {
            site.pause("e9");
        }
    },
    /** Messages between entries are lost, doubled and late. */
    LOSSY_LINKS("links lose 20%, up to 50 ms late") {
        @Override
        void begin(VirtualSite site) {
            site.network().setLinkBehaviour(1, 50, 0.2, 0.1);
        }
    },
    /** One entry reaches its peers only. */
    ENTRY_CUT_OFF("an entry without the store") {
        @Override
        void begin(VirtualSite site) {
            site.store().setReachable("e9", false);
        }
    };

    private final String mLabel;

    RollOutCondition(String label) {
        mLabel = label;
    }

    String label() {
        return mLabel;
    }

    /** Lets the faults begin. */
    abstract void begin(VirtualSite site);
}
