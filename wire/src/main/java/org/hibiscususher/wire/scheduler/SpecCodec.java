package org.hibiscususher.wire.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.wire.generated.SchedulerProto;

/** Encodes {@link JobSpec} as protobuf and decodes it. Does not validate the job. */
final class SpecCodec {
    private SpecCodec() {}

    static SchedulerProto.Spec encode(JobSpec spec) {
        SchedulerProto.Spec.Builder builder =
                SchedulerProto.Spec.newBuilder()
                        .setText(spec.payload())
                        .setRepeats(spec.repeats())
                        .setStartMs(spec.startMs())
                        .setIntervalMs(spec.intervalMs());
        spec.steps().forEach(step -> builder.addSteps(encode(step)));
        return builder.build();
    }

    private static SchedulerProto.Step encode(StepSpec step) {
        return SchedulerProto.Step.newBuilder()
                .setCount(step.count())
                .setCpuMillis(step.demand().cpuMillis())
                .setMemoryMb(step.demand().memoryMb())
                .setGpus(step.demand().gpus())
                .setEstimateMs(step.estimateMs())
                .addAllAfter(step.dependsOn())
                .setCheckpoints(step.savesCheckpoints())
                .setGang(step.gang())
                .setSameRack(step.sameRack())
                .setRequiredLabel(step.requiredLabel())
                .setDataRack(step.dataRack())
                .setMaxPerExecutor(step.maxPerExecutor())
                .setSpeculative(step.speculative())
                .setLasting(step.service())
                .setImage(step.image())
                .setGoalMs(step.latencyGoalMs())
                .setFills(step.bestEffortCpu())
                .setMaxUnavailable(step.maxUnavailable())
                .build();
    }

    static JobSpec decode(SchedulerProto.Spec spec) {
        List<StepSpec> steps = new ArrayList<>();
        spec.getStepsList().forEach(step -> steps.add(decode(step)));
        return new JobSpec(
                spec.getText(), steps, spec.getRepeats(), spec.getStartMs(), spec.getIntervalMs());
    }

    private static StepSpec decode(SchedulerProto.Step step) {
        return new StepSpec(
                step.getCount(),
                Resources.of(step.getCpuMillis(), step.getMemoryMb(), step.getGpus()),
                step.getEstimateMs(),
                step.getAfterList(),
                step.getCheckpoints(),
                step.getGang(),
                step.getSameRack(),
                step.getRequiredLabel(),
                step.getDataRack(),
                step.getMaxPerExecutor(),
                step.getSpeculative(),
                step.getLasting(),
                step.getImage(),
                step.getGoalMs(),
                step.getFills(),
                step.getMaxUnavailable());
    }
}
