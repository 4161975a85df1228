package org.hibiscususher.core.message;

/** The kinds of permits held in escrow. */
public enum PermitKind {
    /** Allows one running request on one host; allocated per pool. */
    SLOT(GroupKind.POOL),
    /** Allows one running request of one team on any host; allocated per team. */
    UNIT(GroupKind.TEAM),
    /** Allows one running long request in one pool; allocated per pool. */
    LONG_RUN(GroupKind.POOL);

    private final GroupKind mGroupKind;

    PermitKind(GroupKind groupKind) {
        mGroupKind = groupKind;
    }

    /** Returns the kind of group to which permits of this kind belong. */
    public GroupKind groupKind() {
        return mGroupKind;
    }
}
