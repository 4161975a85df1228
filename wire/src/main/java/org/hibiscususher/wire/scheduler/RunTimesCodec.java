package org.hibiscususher.wire.scheduler;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;
import org.hibiscususher.core.scheduler.message.RunTimeSamples;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.wire.generated.SchedulerProto;

/** Encodes the record of run times. Each executor is named once, and samples refer to it. */
final class RunTimesCodec {
    private RunTimesCodec() {}

    static SchedulerProto.RunTimes encode(StoredRecord.RunTimes record) {
        Map<String, Integer> executors = new LinkedHashMap<>();
        SchedulerProto.RunTimes.Builder builder = SchedulerProto.RunTimes.newBuilder();
        for (RunTimeSamples row : record.rows()) {
            SchedulerProto.RunTimeSamples.Builder encoded = builder.addRowsBuilder();
            encoded.setImage(row.key().image())
                    .setQueue(row.key().queue())
                    .setStep(row.key().step())
                    .setCount(row.key().count())
                    .setCpuMillis(row.key().demand().cpuMillis())
                    .setMemoryMb(row.key().demand().memoryMb())
                    .setGpus(row.key().demand().gpus());
            for (RunTimeSample sample : row.samples()) {
                int next = executors.size();
                encoded.addExecutor(executors.computeIfAbsent(sample.executor(), e -> next))
                        .addDurationMs(sample.durationMs())
                        .addDeclaredMs(sample.declaredMs());
            }
        }
        return builder.addAllExecutors(executors.keySet()).build();
    }

    static StoredRecord decode(SchedulerProto.RunTimes record) throws IOException {
        List<RunTimeSamples> rows = new ArrayList<>();
        for (SchedulerProto.RunTimeSamples row : record.getRowsList()) {
            RunTimeKey key =
                    new RunTimeKey(
                            row.getImage(),
                            row.getQueue(),
                            row.getStep(),
                            row.getCount(),
                            Resources.of(row.getCpuMillis(), row.getMemoryMb(), row.getGpus()));
            rows.add(new RunTimeSamples(key, samples(row, record.getExecutorsList())));
        }
        return new StoredRecord.RunTimes(rows);
    }

    private static List<RunTimeSample> samples(
            SchedulerProto.RunTimeSamples row, List<String> executors) throws IOException {
        int count = row.getExecutorCount();
        if (row.getDurationMsCount() != count || row.getDeclaredMsCount() != count) {
            throw new IOException("samples of a run time without all their parts");
        }
        List<RunTimeSample> samples = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int executor = row.getExecutor(i);
            if (executor < 0 || executor >= executors.size()) {
                throw new IOException("sample of a run time without its executor");
            }
            samples.add(
                    new RunTimeSample(
                            executors.get(executor), row.getDurationMs(i), row.getDeclaredMs(i)));
        }
        return samples;
    }
}
