package org.hibiscususher.core.scheduler.world;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.OwnerLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PendingRequestRowTest {
    private static final JobRequest REQUEST =
            JobRequest.of(JobRequestKind.SUBMIT, "h", "/q/1", "", Optional.empty());
    private static final Optional<OwnerLoad> LOAD = Optional.of(OwnerLoad.ofQueue(40));
    private static final JobResponse ACCEPTED = JobResponse.of(JobResponseKind.ACCEPTED);

    @Nested
    class Respond {
        private JobResponse respondTo(JobRequest request, JobResponse response) {
            return PendingRequestRow.received(1, request, 0, 0)
                    .withOwnerLoad(LOAD)
                    .awaitingStore("1", 10)
                    .respond(response)
                    .response();
        }

        /** Guards against a load that is lost while the request waits for the store. */
        @Test
        void tellsTheLoadToOtherEntriesAlone() {
            assertThat(respondTo(REQUEST.forwarded(), ACCEPTED).ownerLoad()).isEqualTo(LOAD);
            assertThat(respondTo(REQUEST, ACCEPTED).ownerLoad()).isEmpty();
        }

        /** Guards against a relaying entry that tells its own load as the owner's. */
        @Test
        void keepsTheLoadThatTheOwnerTold() {
            Optional<OwnerLoad> told = Optional.of(OwnerLoad.ofQueue(90));
            assertThat(respondTo(REQUEST.forwarded(), ACCEPTED.withOwnerLoad(told)).ownerLoad())
                    .isEqualTo(told);
        }
    }
}
