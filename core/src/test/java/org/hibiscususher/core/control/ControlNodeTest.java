package org.hibiscususher.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.NodeIdentity;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ControlNodeTest {
    private static final NodeIdentity IDENTITY = new NodeIdentity("e1", 1, "127.0.0.1:1", "z1");
    private static final int TICK_MS = 100;
    private static final int TICKS = 60;

    private final ControlNode mNode = ControlNode.create(IDENTITY, ControlSettings.DEFAULT, 0);
    private long mNowMs;
    private long mVersion;

    private List<Output> tick(Input... inputs) {
        mNowMs += TICK_MS;
        return mNode.tick(mNowMs, Arrays.asList(inputs));
    }

    /** Returns the inputs that answer the reads of records about hosts, with a given wave. */
    private Input[] answerReads(List<Output> outputs, WaveRecord wave) {
        List<Input> answers = new ArrayList<>();
        for (Output output : outputs) {
            if (output instanceof Output.ReadFleetRecords read) {
                VersionedRecord record = new VersionedRecord(++mVersion, wave);
                FleetRecord found = new FleetRecord(RecordKey.WAVE, record);
                answers.add(new Input.FleetRecordsRead(read.callId(), mVersion, List.of(found)));
            }
        }
        return answers.toArray(Input[]::new);
    }

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

    @Nested
    class WaveWithUnknownKindOfId {
        @Test
        void isFollowedByNewWaveAndLeavesRequestsAnswered() {
            WaveRecord odd = new WaveRecord("odd", WaveState.DONE, "", new TreeSet<>());
            List<Output> outputs =
                    tick(new Input.WaveCommandReceived(1, WaveCommand.PLAN, List.of()));
            List<Output> swaps = new ArrayList<>();
            for (int i = 0; i < TICKS; i++) {
                List<Input> inputs = new ArrayList<>(List.of(answerReads(outputs, odd)));
                inputs.add(request(i));
                outputs = tick(inputs.toArray(Input[]::new));
                assertThat(outputs)
                        .contains(new Output.RefuseRequest(i, Refusal.ENTRY_LEAVING))
                        .doesNotContain(new Output.Count(ControlNode.SYSTEM_FAILED));
                outputs.stream().filter(Output.SwapRecord.class::isInstance).forEach(swaps::add);
            }
            assertThat(swaps.toString()).contains("wave-1");
        }
    }
}
