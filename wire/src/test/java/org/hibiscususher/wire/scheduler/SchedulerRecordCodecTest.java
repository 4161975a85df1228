package org.hibiscususher.wire.scheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.math.BigInteger;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.OwnerLoad;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;
import org.hibiscususher.core.scheduler.message.RunTimeSamples;
import org.hibiscususher.core.scheduler.message.StepProgress;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.TaskProgress;
import org.hibiscususher.core.scheduler.message.UsedExecutor;
import org.hibiscususher.wire.generated.SchedulerProto;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SchedulerRecordCodecTest {
    private static final StepSpec STEP =
            new StepSpec(
                    3,
                    Resources.of(1, 2, 3),
                    4,
                    List.of(0),
                    true,
                    true,
                    true,
                    "l",
                    "r",
                    5,
                    true,
                    true,
                    "i",
                    6,
                    true,
                    7);
    private static final JobSpec SPEC =
            new JobSpec(
                    "text", List.of(StepSpec.of(1, Resources.NONE, 9, List.of()), STEP), 2, 3, 4);

    static Stream<StoredRecord> records() {
        return Stream.of(
                new StoredRecord.Owner("n", 5, "a:1"),
                new StoredRecord.Term(7, "n", 5, true, "a:1", List.of("j", "j.0.0.1")),
                new StoredRecord.Job(
                        "id",
                        new JobPolicy("q", "p", 1, 2, 1.6, 600, true),
                        JobAddress.UNKNOWN,
                        "t",
                        SPEC,
                        99),
                new StoredRecord.Progress(
                        "id",
                        JobState.RUNNING,
                        List.of(new StepProgress(1, 0, BigInteger.valueOf(5).shiftLeft(70))),
                        List.of(new TaskProgress(1, 0, 3, List.of(1, 1001), "saved"))),
                new StoredRecord.Cancellation("id"),
                new StoredRecord.Executors(List.of(new UsedExecutor("x", "p"))),
                new StoredRecord.Wave(3, List.of("h1", "h2")),
                new StoredRecord.HostOrders(List.of("h1", "h2")),
                runTimes());
    }

    private static StoredRecord.RunTimes runTimes() {
        RunTimeKey shape = new RunTimeKey("", "q", 1, 8, Resources.of(1_024, 256, 2));
        RunTimeKey image = new RunTimeKey("image", "", 0, 0, Resources.NONE);
        List<RunTimeSample> samples =
                List.of(new RunTimeSample("x", 700, 500), new RunTimeSample("y", 9_000, 0));
        return new StoredRecord.RunTimes(
                List.of(
                        new RunTimeSamples(shape, samples),
                        new RunTimeSamples(image, samples.subList(1, 2))));
    }

    @Nested
    class InvalidRecords {
        /** A sample without its executor would end the takeover that reads it. */
        @Test
        void rejectsSamplesWithoutAllParts() {
            SchedulerProto.Record.Builder record = SchedulerProto.Record.newBuilder();
            record.getRunTimesBuilder().addRowsBuilder().addExecutor(0).addDurationMs(7);
            assertThatThrownBy(() -> SchedulerRecordCodec.decode(record.build().toByteArray()))
                    .isInstanceOf(IOException.class);
            record.getRunTimesBuilder().getRowsBuilder(0).addDeclaredMs(7);
            assertThatThrownBy(() -> SchedulerRecordCodec.decode(record.build().toByteArray()))
                    .isInstanceOf(IOException.class);
        }

        @Test
        void rejectsWaveStatusOnEncoding() {
            assertThatThrownBy(
                            () -> SchedulerRecordCodec.encode(new StoredRecord.WaveStatus(1, true)))
                    .isInstanceOf(IllegalArgumentException.class);
        }

        @Test
        void rejectsMalformedBytesAndMissingBody() {
            assertThatThrownBy(() -> SchedulerRecordCodec.decode(new byte[] {1, 2, 3}))
                    .isInstanceOf(IOException.class);
            assertThatThrownBy(() -> SchedulerRecordCodec.decode(new byte[0]))
                    .isInstanceOf(IOException.class);
        }
    }

    @ParameterizedTest
    @MethodSource("records")
    void restoresEachRecord(StoredRecord record) throws IOException {
        assertThat(SchedulerRecordCodec.decode(SchedulerRecordCodec.encode(record)))
                .isEqualTo(record);
    }

    @Nested
    class ForwardMessages {
        @Test
        void areRestoredFromTheirEncoding() throws IOException {
            JobRequest request =
                    new JobRequest(JobRequestKind.SUBMIT, "h", "/p/", "key", Optional.of(SPEC), 2);
            JobResponse response = JobResponse.refusal(JobResponseKind.OVERLOADED, 1_500, "why");
            for (ForwardMessage message :
                    List.of(
                            ForwardMessage.of(4, request),
                            ForwardMessage.of(5, response),
                            ForwardMessage.relinquishRequest(6, 7),
                            ForwardMessage.handoverOffer(8, 9))) {
                assertThat(ForwardCodec.decode(ForwardCodec.encode(message))).isEqualTo(message);
            }
        }

        /** Guards against a load that another entry doesn't learn of, or learns of wrongly. */
        @Test
        void restoreTheLoadOfTheOwner() throws IOException {
            OwnerLoad load = new OwnerLoad(120, 250, 4_000);
            JobResponse response =
                    JobResponse.of(JobResponseKind.ACCEPTED).withOwnerLoad(Optional.of(load));
            byte[] bytes = ForwardCodec.encode(ForwardMessage.of(5, response));
            assertThat(ForwardCodec.decode(bytes).response()).contains(response);
        }

        /** Guards against answers of an earlier version that read as those of an idle owner. */
        @Test
        void withoutALoadTellNone() throws IOException {
            byte[] bytes =
                    SchedulerProto.Link.newBuilder()
                            .setCallId(5)
                            .setAnswer(SchedulerProto.Answer.newBuilder().setReason("why"))
                            .build()
                            .toByteArray();
            JobResponse response = ForwardCodec.decode(bytes).response().orElseThrow();
            assertThat(response.ownerLoad()).isEmpty();
        }
    }
}
