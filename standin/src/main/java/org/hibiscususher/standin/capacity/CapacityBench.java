package org.hibiscususher.standin.capacity;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.IntFunction;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.wire.yaml.NoteReader;

/**
 * Measures how the cost of the control code grows with each dimension of a site.
 *
 * <p>Varies one dimension at a time over four or more sizes, and prints the slope of each cost.
 * Runs the real control code in virtual time on one thread. The network and the store are fakes, so
 * that the processor time is that of the control code alone.
 */
public final class CapacityBench {
    private static final long SEED = 5;
    private static final long SETTLE_MS = 4_000;
    private static final long MEASURE_MS = 10_000;
    private static final long MS_PER_DAY = 24L * 60 * 60 * 1000;
    private static final int REQUEST_RUN_MS = 50;

    /** The size that is varied: 9 entries, 5 pools, 6 teams, 40 hosts, no notes, 200 requests/s. */
    private static final SiteSize BASE = new SiteSize(9, 5, 6, 40, 0, 200);

    private CapacityBench() {}

    /**
     * Prints a table and writes a CSV file.
     *
     * @param args path of the CSV file; by default {@code target/capacity.csv}
     */
    public static void main(String[] args) throws IOException {
        Path file = Path.of(args.length > 0 ? args[0] : "target/capacity.csv");
        Files.createDirectories(file.toAbsolutePath().getParent());
        System.out.println("seed " + SEED + ", base " + BASE);
        try (PrintWriter csv = new PrintWriter(Files.newBufferedWriter(file))) {
            csv.println("kind,size,corePercent,bytesPerS,messagesPerS,storeCallsPerS,heapBytes");
            // The first run warms up the JIT compiler; its result is discarded.
            measure(BASE);
            sweep(csv, "members", List.of(3, 9, 18, 36, 64), BASE::withMembers);
            sweep(csv, "pools", List.of(5, 10, 20, 40), n -> BASE.withHosts(80).withPools(n));
            sweep(csv, "teams", List.of(6, 25, 100, 300), BASE::withTeams);
            sweep(csv, "hosts", List.of(40, 160, 640, 1280), BASE::withHosts);
            sweep(csv, "notes", List.of(0, 3_300, 33_000, 132_000), BASE::withNotes);
            sweep(csv, "requests", List.of(0, 200, 800, 1600), BASE::withRequests);
        }
        System.out.println("written to " + file);
    }

    private static void sweep(
            PrintWriter csv, String dimension, List<Integer> sizes, IntFunction<SiteSize> sizeOf) {
        System.out.printf(
                "%n%-10s %9s %12s %12s %12s %12s%n",
                dimension, "core %", "bytes/s", "messages/s", "store/s", "heap KB");
        double[] x = new double[sizes.size()];
        double[][] y = new double[5][sizes.size()];
        for (int i = 0; i < x.length; i++) {
            ControlCost cost = measure(sizeOf.apply(sizes.get(i)));
            x[i] = sizes.get(i);
            y[0][i] = cost.corePercent();
            y[1][i] = cost.bytesPerSecond();
            y[2][i] = cost.messagesPerSecond();
            y[3][i] = cost.storeCallsPerSecond();
            y[4][i] = cost.heapBytes() / 1024;
            System.out.printf(
                    Locale.ROOT,
                    "%-10d %9.3f %12.0f %12.1f %12.2f %12.0f%n",
                    sizes.get(i),
                    y[0][i],
                    y[1][i],
                    y[2][i],
                    y[3][i],
                    y[4][i]);
            csv.printf(
                    Locale.ROOT,
                    "%s,%d,%.4f,%.1f,%.2f,%.3f,%.0f%n",
                    dimension,
                    sizes.get(i),
                    y[0][i],
                    y[1][i],
                    y[2][i],
                    y[3][i],
                    cost.heapBytes());
        }
        System.out.printf(
                Locale.ROOT,
                "%-10s %9.5f %12.2f %12.3f %12.4f %12.3f%n",
                "slope",
                slope(x, y[0]),
                slope(x, y[1]),
                slope(x, y[2]),
                slope(x, y[3]),
                slope(x, y[4]));
    }

    /** Returns the slope of the least-squares line through points that differ in x. */
    static double slope(double[] x, double[] y) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < x.length; i++) {
            meanX += x[i] / x.length;
            meanY += y[i] / x.length;
        }
        double product = 0;
        double square = 0;
        for (int i = 0; i < x.length; i++) {
            product += (x[i] - meanX) * (y[i] - meanY);
            square += (x[i] - meanX) * (x[i] - meanX);
        }
        return product / square;
    }

    private static ControlCost measure(SiteSize size) {
        long heapBefore = usedHeap();
        VirtualSite site = VirtualSite.create(SEED, ControlSettings.DEFAULT);
        for (int i = 0; i < size.members(); i++) {
            site.start("e" + i, "z" + i % 3);
        }
        site.run(SETTLE_MS);
        long noteCall = site.submitNote("e0", NoteReader.read("note", size.initialNote()).note());
        site.run(SETTLE_MS);
        if (!site.noteReplies().containsKey(noteCall)
                || site.noteReplies().get(noteCall).result() != NoteResult.ACCEPTED) {
            throw new IllegalStateException(
                    "the release note of the site was not accepted: "
                            + site.noteReplies().get(noteCall));
        }
        startLoad(site, size);
        site.run(SETTLE_MS);
        site.setCountsMessageBytes(true);
        ControlCost before = totals(site);
        site.run(MEASURE_MS);
        ControlCost after = totals(site);
        double seconds = MEASURE_MS / 1000.0;
        double entries = size.members();
        return new ControlCost(
                100 * (after.corePercent() - before.corePercent()) / 1e9 / seconds / entries,
                (after.bytesPerSecond() - before.bytesPerSecond()) / seconds / entries,
                (after.messagesPerSecond() - before.messagesPerSecond()) / seconds / entries,
                (after.storeCallsPerSecond() - before.storeCallsPerSecond()) / seconds / entries,
                (usedHeap() - heapBefore) / entries);
    }

    /**
     * Returns sums over all entries since the start: nanoseconds in the place of the percentage,
     * and counts in the place of rates; the heap is 0.
     */
    private static ControlCost totals(VirtualSite site) {
        double ns = 0;
        double bytes = 0;
        double messages = 0;
        double storeCalls = 0;
        for (VirtualEntry entry : site.entries().values()) {
            ns += entry.tickNs();
            bytes += entry.sentBytes();
            messages += entry.sentMessages();
            storeCalls += entry.storeCalls();
        }
        return new ControlCost(ns, bytes, messages, storeCalls, 0);
    }

    private static void startLoad(VirtualSite site, SiteSize size) {
        Random random = new Random(SEED);
        if (size.requestsPerSecond() > 0) {
            sendRequests(site, size, random);
        }
        if (size.notesPerDay() > 0) {
            submitChange(site, size, 0);
        }
    }

    /** Sends requests now and, at a fixed interval, for the rest of the run. */
    private static void sendRequests(VirtualSite site, SiteSize size, Random random) {
        int intervalMs = Math.max(1, 1000 / size.requestsPerSecond());
        int count = Math.max(1, size.requestsPerSecond() * intervalMs / 1000);
        for (int i = 0; i < count; i++) {
            String entry = "e" + random.nextInt(size.members());
            String queue = "q" + random.nextInt(size.pools());
            site.sendRequest(entry, queue, "t" + random.nextInt(size.teams()), REQUEST_RUN_MS);
        }
        site.requests().values().removeIf(r -> r.isFinished());
        site.clock().after(intervalMs, () -> sendRequests(site, size, random));
    }

    /** Submits a release note now and, at a fixed interval, for the rest of the run. */
    private static void submitChange(VirtualSite site, SiteSize size, int number) {
        String entry = "e" + number % size.members();
        site.submitNote(entry, NoteReader.read("note", size.changeNote(number)).note());
        site.clock()
                .after(MS_PER_DAY / size.notesPerDay(), () -> submitChange(site, size, number + 1));
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
