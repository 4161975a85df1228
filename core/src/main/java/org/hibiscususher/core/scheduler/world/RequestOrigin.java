package org.hibiscususher.core.scheduler.world;

import org.hibiscususher.core.job.JobRequest;

/** Where a request comes from. */
public enum RequestOrigin {
    /** A caller. */
    CALLER,
    /** Another entry, which has admitted the request by its own limit and learns of the load. */
    ENTRY {
        @Override
        public boolean isAdmitted() {
            return true;
        }

        @Override
        public boolean learnsOwnerLoad() {
            return true;
        }
    };

    /** Returns the origin of a request as it arrived. */
    static RequestOrigin of(JobRequest request) {
        return request.hops() == 0 ? CALLER : ENTRY;
    }

    /** Returns whether another entry has admitted the request. */
    public boolean isAdmitted() {
        return false;
    }

    /** Returns whether responses carry the load of the owner. */
    public boolean learnsOwnerLoad() {
        return false;
    }
}
