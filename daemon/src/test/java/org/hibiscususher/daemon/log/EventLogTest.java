package org.hibiscususher.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLogTest {
    private static final int FLOOD_LINES = 50_000;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    private long countWritten(String event) {
        return mOut.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("event=" + event + " "))
                .count();
    }

    private long dropped(String event) {
        return mOut.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("event=" + event + " "))
                .filter(line -> line.contains("left_out="))
                .mapToLong(
                        line ->
                                Long.parseLong(
                                        line.substring(line.indexOf("left_out=") + 9).trim()))
                .sum();
    }

    @Nested
    class Flood {
        @Test
        void isRateLimitedAndDroppedLinesAreCounted() throws InterruptedException {
            EventLog log = EventLog.start("n", Set.of(), new PrintStream(mOut, true));
            for (int i = 0; i < FLOOD_LINES; i++) {
                log.log("frequent", "i=" + i);
            }
            Thread.sleep(1_100);
            log.log("frequent", "last=true");
            log.close();
            assertThat(countWritten("frequent")).isLessThan(FLOOD_LINES / 10);
            assertThat(countWritten("frequent") + dropped("frequent")).isEqualTo(FLOOD_LINES + 1);
        }

        @Test
        void doesNotDropExemptEvents() {
            EventLog log = EventLog.start("n", Set.of("exempt"), new PrintStream(mOut, true));
            for (int i = 0; i < 2_000; i++) {
                log.log("frequent", "i=" + i);
                log.log("exempt", "i=" + i);
            }
            log.close();
            assertThat(countWritten("exempt")).isEqualTo(2_000);
        }
    }

    @Nested
    class BlockedOutput {
        @Test
        @Timeout(5)
        void doesNotBlockCallers() {
            CountDownLatch unblock = new CountDownLatch(1);
            OutputStream blockedStream =
                    new OutputStream() {
                        @Override
                        public void write(int b) {
                            try {
                                unblock.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        }
                    };
            EventLog log =
                    EventLog.start("n", Set.of("exempt"), new PrintStream(blockedStream, true));
            for (int i = 0; i < FLOOD_LINES; i++) {
                log.log("exempt", "i=" + i);
            }
            unblock.countDown();
        }
    }

    @Nested
    class Close {
        private static final long NS_PER_MS = 1_000_000;

        @Test
        void doesNotWaitForTheNextPollOfAnIdleLog() throws InterruptedException {
            EventLog log = EventLog.start("n", Set.of(), new PrintStream(mOut, true));
            log.log("last", "i=1");
            Thread.sleep(50);
            long startNs = System.nanoTime();
            log.close();
            assertThat((System.nanoTime() - startNs) / NS_PER_MS).isLessThan(200);
            assertThat(mOut.toString(StandardCharsets.UTF_8).lines()).hasSize(1);
        }

        @Test
        void writesWhatWasQueued() {
            EventLog log = EventLog.start("n", Set.of("exempt"), new PrintStream(mOut, true));
            for (int i = 0; i < 1_000; i++) {
                log.log("exempt", "i=" + i);
            }
            log.close();
            assertThat(mOut.toString(StandardCharsets.UTF_8).lines()).hasSize(1_000);
        }
    }
}
