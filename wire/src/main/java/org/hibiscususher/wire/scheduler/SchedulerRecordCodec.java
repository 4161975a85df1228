package org.hibiscususher.wire.scheduler;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.StepProgress;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.TaskProgress;
import org.hibiscususher.core.scheduler.message.UsedExecutor;
import org.hibiscususher.wire.generated.SchedulerProto;

/** Translates the scheduler's records in the store. */
public final class SchedulerRecordCodec {
    private SchedulerRecordCodec() {}

    /**
     * Returns a record's bytes.
     *
     * @throws IllegalArgumentException for a wave's status, which is in the operators' format
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
        } else {
            throw new IllegalArgumentException("not stored in this form: " + record.name());
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
        for (StepProgress mark : progress.steps()) {
            builder.addStepsBuilder()
                    .setOccurrence(mark.occurrence())
                    .setStep(mark.step())
                    .setDone(ByteString.copyFrom(mark.doneTasks().toByteArray()));
        }
        for (TaskProgress mark : progress.tasks()) {
            builder.addTasksBuilder()
                    .setOccurrence(mark.occurrence())
                    .setStep(mark.step())
                    .setIndex(mark.index())
                    .addAllFailedRuns(mark.failedRuns())
                    .setCheckpoint(mark.checkpoint());
        }
        return builder.build();
    }

    /**
     * Returns the record that bytes stand for.
     *
     * @throws IOException if they stand for none
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
            case EXECUTORS -> decode(record.getExecutors());
            case WAVE ->
                    new StoredRecord.Wave(
                            record.getWave().getWave(), record.getWave().getBegunList());
            case HOST_ORDERS -> new StoredRecord.HostOrders(record.getHostOrders().getHostsList());
            default -> throw new IOException("a record without a body");
        };
    }

    private static StoredRecord decode(SchedulerProto.Job job) {
        JobPolicy terms =
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
                terms,
                job.getTeam(),
                SpecCodec.decode(job.getSpec()),
                job.getAcceptedMs());
    }

    private static StoredRecord decode(SchedulerProto.Progress progress) throws IOException {
        List<StepProgress> steps = new ArrayList<>();
        for (SchedulerProto.StepMark mark : progress.getStepsList()) {
            BigInteger done = new BigInteger(1, mark.getDone().toByteArray());
            steps.add(new StepProgress(mark.getOccurrence(), mark.getStep(), done));
        }
        List<TaskProgress> tasks = new ArrayList<>();
        for (SchedulerProto.TaskMark mark : progress.getTasksList()) {
            tasks.add(
                    new TaskProgress(
                            mark.getOccurrence(),
                            mark.getStep(),
                            mark.getIndex(),
                            mark.getFailedRunsList(),
                            mark.getCheckpoint()));
        }
        JobState state = ForwardCodec.constant(JobState.values(), progress.getState());
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
