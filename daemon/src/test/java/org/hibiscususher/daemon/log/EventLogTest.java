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
    private static final int FLOOD = 50_000;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    private long count(String event) {
        return mOut.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("event=" + event + " "))
                .count();
    }

    private long leftOut(String event) {
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
        void isCutDownAndCounted() throws InterruptedException {
            EventLog log = EventLog.start("n", Set.of(), new PrintStream(mOut, true));
            for (int i = 0; i < FLOOD; i++) {
                log.log("often", "i=" + i);
            }
            Thread.sleep(1_100);
            log.log("often", "last=true");
            log.close();
            assertThat(count("often")).isLessThan(FLOOD / 10);
            assertThat(count("often") + leftOut("often")).isEqualTo(FLOOD + 1);
        }

        @Test
        void doesNotTouchVitalEvents() {
            EventLog log = EventLog.start("n", Set.of("vital"), new PrintStream(mOut, true));
            for (int i = 0; i < 2_000; i++) {
                log.log("often", "i=" + i);
                log.log("vital", "i=" + i);
            }
            log.close();
            assertThat(count("vital")).isEqualTo(2_000);
        }
    }

    @Nested
    class BlockedOutput {
        @Test
        @Timeout(5)
        void doesNotHoldCallersUp() {
            CountDownLatch never = new CountDownLatch(1);
            OutputStream stuck =
                    new OutputStream() {
                        @Override
                        public void write(int b) {
                            try {
                                never.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        }
                    };
            EventLog log = EventLog.start("n", Set.of("vital"), new PrintStream(stuck, true));
            for (int i = 0; i < FLOOD; i++) {
                log.log("vital", "i=" + i);
            }
            never.countDown();
        }
    }
}
