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
 * Measures the cost of control over four or more sizes of each kind, and the slopes.
 *
 * <p>Runs the real decisions in virtual time on one thread; the network and the store are fakes, so
 * that processor time is that of the decisions alone.
 */
public final class CapacityBench {
    private static final long SEED = 5;
    private static final long SETTLE_MS = 4_000;
    private static final long MEASURE_MS = 10_000;
    private static final long MS_PER_DAY = 24L * 60 * 60 * 1000;
    private static final int RUN_MS = 50;
    private static final SiteSize BASE = new SiteSize(9, 5, 6, 40, 0, 200);

    private CapacityBench() {}

    /** Prints a table and writes a CSV file; the one argument is the file. */
    public static void main(String[] args) throws IOException {
        Path file = Path.of(args.length > 0 ? args[0] : "target/capacity.csv");
        Files.createDirectories(file.toAbsolutePath().getParent());
        System.out.println("seed " + SEED + ", base " + BASE);
        try (PrintWriter csv = new PrintWriter(Files.newBufferedWriter(file))) {
            csv.println("kind,size,corePercent,bytesPerS,messagesPerS,storeCallsPerS,heapBytes");
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
            PrintWriter csv, String kind, List<Integer> sizes, IntFunction<SiteSize> sizeOf) {
        System.out.printf(
                "%n%-10s %9s %12s %12s %12s %12s%n",
                kind, "core %", "bytes/s", "messages/s", "store/s", "heap KB");
        double[] x = new double[sizes.size()];
        double[][] y = new double[5][sizes.size()];
        for (int i = 0; i < x.length; i++) {
            Cost cost = measure(sizeOf.apply(sizes.get(i)));
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
                    kind,
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

    /** Returns the slope of the least-squares line. */
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

    private static Cost measure(SiteSize size) {
        long heapBefore = usedHeap();
        VirtualSite site = VirtualSite.create(SEED, ControlSettings.DEFAULT);
        for (int i = 0; i < size.members(); i++) {
            site.start("e" + i, "z" + i % 3);
        }
        site.run(SETTLE_MS);
        long call = site.submitNote("e0", NoteReader.read("note", size.note()).note());
        site.run(SETTLE_MS);
        if (!site.noteReplies().containsKey(call)
                || site.noteReplies().get(call).result() != NoteResult.ACCEPTED) {
            throw new IllegalStateException("the opening note: " + site.noteReplies().get(call));
        }
        load(site, size);
        site.run(SETTLE_MS);
        site.setCountsMessageBytes(true);
        Cost before = totals(site);
        site.run(MEASURE_MS);
        Cost after = totals(site);
        double seconds = MEASURE_MS / 1000.0;
        double n = size.members();
        return new Cost(
                100 * (after.corePercent() - before.corePercent()) / 1e9 / seconds / n,
                (after.bytesPerSecond() - before.bytesPerSecond()) / seconds / n,
                (after.messagesPerSecond() - before.messagesPerSecond()) / seconds / n,
                (after.storeCallsPerSecond() - before.storeCallsPerSecond()) / seconds / n,
                (usedHeap() - heapBefore) / n);
    }

    /** Returns sums over the entries in the place of rates. */
    private static Cost totals(VirtualSite site) {
        double ns = 0;
        double bytes = 0;
        double messages = 0;
        double calls = 0;
        for (VirtualEntry entry : site.entries().values()) {
            ns += entry.tickNs();
            bytes += entry.sentBytes();
            messages += entry.sentMessages();
            calls += entry.storeCalls();
        }
        return new Cost(ns, bytes, messages, calls, 0);
    }

    private static void load(VirtualSite site, SiteSize size) {
        Random random = new Random(SEED);
        if (size.requestsPerSecond() > 0) {
            request(site, size, random);
        }
        if (size.notesPerDay() > 0) {
            change(site, size, 0);
        }
    }

    private static void request(VirtualSite site, SiteSize size, Random random) {
        int everyMs = Math.max(1, 1000 / size.requestsPerSecond());
        int count = Math.max(1, size.requestsPerSecond() * everyMs / 1000);
        for (int i = 0; i < count; i++) {
            String entry = "e" + random.nextInt(size.members());
            String queue = "q" + random.nextInt(size.pools());
            site.sendRequest(entry, queue, "t" + random.nextInt(size.teams()), RUN_MS);
        }
        site.requests().values().removeIf(r -> r.isFinished());
        site.clock().after(everyMs, () -> request(site, size, random));
    }

    private static void change(VirtualSite site, SiteSize size, int number) {
        String entry = "e" + number % size.members();
        site.submitNote(entry, NoteReader.read("note", size.change(number)).note());
        site.clock().after(MS_PER_DAY / size.notesPerDay(), () -> change(site, size, number + 1));
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
