import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, with the time since the start. */
final class Record implements AutoCloseable {
    private static final long NS_PER_MS = 1_000_000;

    private final long mStartNs = System.nanoTime();
    private final PrintWriter mOut;

    Record(Path dir) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(dir.resolve("record.txt")));
    }

    /** Returns the milliseconds since the start of the case. */
    long nowMs() {
        return (System.nanoTime() - mStartNs) / NS_PER_MS;
    }

    synchronized void line(String text) {
        mOut.printf("%7d  %s%n", nowMs(), text);
    }

    /** Writes a line to the record and to standard output. */
    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
