package org.hibiscususher.core.message;

/** The kinds of permits held in escrow. */
public enum PermitKind {
    /** The right to run one request on one host's executor; allocated per pool. */
    SLOT(GroupKind.POOL),
    /** The right of one team to have one request running anywhere; allocated per team. */
    UNIT(GroupKind.TEAM),
    /** The right to run one long request in one pool; allocated per pool. */
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
