import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what is sent, answered and run to record.txt, one line an event, with its time. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start of the case. */
    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String source, String text) {
        out.printf("%7d %-10s %s%n", nowMs(), source, text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
