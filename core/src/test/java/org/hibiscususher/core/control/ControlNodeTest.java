package org.hibiscususher.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.NodeIdentity;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ControlNodeTest {
    private static final NodeIdentity IDENTITY = new NodeIdentity("e1", 1, "127.0.0.1:1", "z1");
    private static final int TICK_MS = 100;

    private static Input.RequestArrived request(long id) {
        return new Input.RequestArrived(
                id, "lookups", Optional.empty(), true, "", 0, Capacity.NONE);
    }

    @Nested
    class FailedSystem {
        private final TickSystem mFailing =
                tick -> {
                    throw new IllegalStateException("a fault of the program");
                };

        private List<Output> tickOf(TickSystem... systems) {
            return ControlNode.create(IDENTITY, ControlSettings.DEFAULT, 0, List.of(systems))
                    .tick(TICK_MS, List.of(request(7)));
        }

        @Test
        void leavesOthersRunning() {
            assertThat(tickOf(mFailing, Phase.ADMISSION))
                    .contains(new Output.RefuseRequest(7, Refusal.ENTRY_LEAVING))
                    .doesNotContain(new Output.RefuseRequest(7, Refusal.ENTRY_FAILED))
                    .contains(new Output.Count(ControlNode.SYSTEM_FAILED));
        }

        @Test
        void leavesNoRequestWithoutDecision() {
            assertThat(tickOf(mFailing))
                    .contains(new Output.RefuseRequest(7, Refusal.ENTRY_FAILED));
        }
    }
}
