package org.hibiscususher.standin.bench;

import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.virtual.VirtualSite;

/** The faults under which roll-outs are measured. */
enum RollOutCondition {
    /** No faults. */
    HEALTHY("healthy") {
        @Override
        void inject(VirtualSite site) {
            // No fault.
        }
    },
    /** Every response and watch event of the store is delayed by 800 ms. */
    SLOW_STORE("store 800 ms late") {
        @Override
        void inject(VirtualSite site) {
            site.store().setFault(StoreFault.SLOW);
        }
    },
    /** The process of one entry has ended. */
    MEMBER_DEAD("a member dead") {
        @Override
        void inject(VirtualSite site) {
            site.kill("e9");
        }
    },
    /** The process of one entry is paused, and its connections stay open. */
    MEMBER_PAUSED("a member paused") {
        @Override
        void inject(VirtualSite site) {
            site.pause("e9");
        }
    },
    /** Messages between entries are lost (20%), duplicated (10%) and delayed (up to 50 ms). */
    LOSSY_LINKS("links lose 20%, up to 50 ms late") {
        @Override
        void inject(VirtualSite site) {
            site.network().setLinkBehaviour(1, 50, 0.2, 0.1);
        }
    },
    /** One entry reaches its peers but not the store. */
    ENTRY_CUT_OFF("an entry without the store") {
        @Override
        void inject(VirtualSite site) {
            site.store().setReachable("e9", false);
        }
    };

    private final String mLabel;

    RollOutCondition(String label) {
        mLabel = label;
    }

    /** Returns the row name in the printed table. */
    String label() {
        return mLabel;
    }

    /** Injects the fault. */
    abstract void inject(VirtualSite site);
}
