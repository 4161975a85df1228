package org.hibiscususher.wire.scheduler;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.StepProgress;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.TaskProgress;
import org.hibiscususher.core.scheduler.message.UsedExecutor;
import org.hibiscususher.wire.generated.SchedulerProto;

/**
 * Encodes the scheduler's records in the store as protobuf and decodes them. Thread-safe.
 *
 * <p>Records outlive the process that wrote them: a build must read what earlier builds stored.
 */
public final class SchedulerRecordCodec {
    private SchedulerRecordCodec() {}

    /**
     * Returns the protobuf encoding of a record.
     *
     * @throws IllegalArgumentException for {@link StoredRecord.WaveStatus}, which operators read
     *     and which is not stored as protobuf
     */
    public static byte[] encode(StoredRecord record) {
        SchedulerProto.Record.Builder builder = SchedulerProto.Record.newBuilder();
        if (record instanceof StoredRecord.Owner owner) {
            builder.getOwnerBuilder()
                    .setNode(owner.node())
                    .setIncarnation(owner.incarnation())
                    .setAddress(owner.address());
        } else if (record instanceof StoredRecord.Term term) {
            builder.getTermBuilder()
                    .setGeneration(term.generation())
                    .setNode(term.node())
                    .setIncarnation(term.incarnation())
                    .setReleased(term.released())
                    .setAddress(term.address())
                    .addAllOpen(term.unsettled());
        } else if (record instanceof StoredRecord.Job job) {
            builder.setJob(encode(job));
        } else if (record instanceof StoredRecord.Progress progress) {
            builder.setProgress(encode(progress));
        } else if (record instanceof StoredRecord.Cancellation cancellation) {
            builder.getCancellationBuilder().setJob(cancellation.job());
        } else if (record instanceof StoredRecord.Executors executors) {
            executors
                    .executors()
                    .forEach(
                            e ->
                                    builder.getExecutorsBuilder()
                                            .addExecutorsBuilder()
                                            .setId(e.id())
                                            .setPool(e.pool()));
        } else if (record instanceof StoredRecord.Wave wave) {
            builder.getWaveBuilder().setWave(wave.wave()).addAllBegun(wave.startedHosts());
        } else if (record instanceof StoredRecord.HostOrders orders) {
            builder.getHostOrdersBuilder().addAllHosts(orders.hosts());
        } else if (record instanceof StoredRecord.RunTimes runTimes) {
            builder.setRunTimes(RunTimesCodec.encode(runTimes));
        } else {
            throw new IllegalArgumentException("not stored as protobuf: " + record.name());
        }
        return builder.build().toByteArray();
    }

    private static SchedulerProto.Job encode(StoredRecord.Job job) {
        return SchedulerProto.Job.newBuilder()
                .setId(job.id())
                .setQueue(job.policy().queue())
                .setPool(job.policy().pool())
                .setPriority(job.policy().priority())
                .setAttempts(job.policy().maxFailures())
                .setExtension(job.policy().criticalPathFactor())
                .setObjectiveMs(job.policy().slackMs())
                .setAdvised(job.policy().needsPlacementToken())
                .setHost(job.address().hostName())
                .setPath(job.address().path())
                .setTeam(job.team())
                .setSpec(SpecCodec.encode(job.spec()))
                .setAcceptedMs(job.acceptedMs())
                .build();
    }

    private static SchedulerProto.Progress encode(StoredRecord.Progress progress) {
        SchedulerProto.Progress.Builder builder =
                SchedulerProto.Progress.newBuilder()
                        .setId(progress.id())
                        .setState(progress.state().ordinal());
        for (StepProgress step : progress.steps()) {
            builder.addStepsBuilder()
                    .setOccurrence(step.occurrence())
                    .setStep(step.step())
                    .setDone(ByteString.copyFrom(step.doneTasks().toByteArray()));
        }
        for (TaskProgress task : progress.tasks()) {
            builder.addTasksBuilder()
                    .setOccurrence(task.occurrence())
                    .setStep(task.step())
                    .setIndex(task.index())
                    .addAllFailedRuns(task.failedRuns())
                    .setCheckpoint(task.checkpoint());
        }
        return builder.build();
    }

    /**
     * Returns the record that protobuf bytes encode.
     *
     * @throws IOException if the bytes are malformed, or hold a type of record or an enum ordinal
     *     that this build doesn't know
     */
    public static StoredRecord decode(byte[] bytes) throws IOException {
        SchedulerProto.Record record = SchedulerProto.Record.parseFrom(bytes);
        return switch (record.getBodyCase()) {
            case OWNER ->
                    new StoredRecord.Owner(
                            record.getOwner().getNode(),
                            record.getOwner().getIncarnation(),
                            record.getOwner().getAddress());
            case TERM ->
                    new StoredRecord.Term(
                            record.getTerm().getGeneration(),
                            record.getTerm().getNode(),
                            record.getTerm().getIncarnation(),
                            record.getTerm().getReleased(),
                            record.getTerm().getAddress(),
                            record.getTerm().getOpenList());
            case JOB -> decode(record.getJob());
            case PROGRESS -> decode(record.getProgress());
            case CANCELLATION -> new StoredRecord.Cancellation(record.getCancellation().getJob());
            case EXECUTORS -> decode(record.getExecutors());
            case WAVE ->
                    new StoredRecord.Wave(
                            record.getWave().getWave(), record.getWave().getBegunList());
            case HOST_ORDERS -> new StoredRecord.HostOrders(record.getHostOrders().getHostsList());
            case RUN_TIMES -> RunTimesCodec.decode(record.getRunTimes());
            default -> throw new IOException("stored record has no known body");
        };
    }

    private static StoredRecord decode(SchedulerProto.Job job) {
        JobPolicy policy =
                new JobPolicy(
                        job.getQueue(),
                        job.getPool(),
                        job.getPriority(),
                        job.getAttempts(),
                        job.getExtension(),
                        job.getObjectiveMs(),
                        job.getAdvised());
        return new StoredRecord.Job(
                job.getId(),
                policy,
                new JobAddress(job.getHost(), job.getPath()),
                job.getTeam(),
                SpecCodec.decode(job.getSpec()),
                job.getAcceptedMs());
    }

    private static StoredRecord decode(SchedulerProto.Progress progress) throws IOException {
        List<StepProgress> steps = new ArrayList<>();
        for (SchedulerProto.StepMark step : progress.getStepsList()) {
            BigInteger doneTasks = new BigInteger(1, step.getDone().toByteArray());
            steps.add(new StepProgress(step.getOccurrence(), step.getStep(), doneTasks));
        }
        List<TaskProgress> tasks = new ArrayList<>();
        for (SchedulerProto.TaskMark task : progress.getTasksList()) {
            tasks.add(
                    new TaskProgress(
                            task.getOccurrence(),
                            task.getStep(),
                            task.getIndex(),
                            task.getFailedRunsList(),
                            task.getCheckpoint()));
        }
        JobState state = ForwardCodec.enumConstant(JobState.values(), progress.getState());
        return new StoredRecord.Progress(progress.getId(), state, steps, tasks);
    }

    private static StoredRecord decode(SchedulerProto.Executors executors) {
        List<UsedExecutor> used = new ArrayList<>();
        executors
                .getExecutorsList()
                .forEach(e -> used.add(new UsedExecutor(e.getId(), e.getPool())));
        return new StoredRecord.Executors(used);
    }
}
