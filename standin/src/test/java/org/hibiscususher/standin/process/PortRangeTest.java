package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PortRangeTest {
    private static final int DRAWS = 200;

    @Nested
    class Runs {
        @Test
        void drawDifferentPorts() throws IOException {
            Set<Integer> ports = new HashSet<>();
            try (PortRange first = PortRange.lock();
                    PortRange second = PortRange.lock()) {
                for (int i = 0; i < DRAWS; i++) {
                    assertThat(ports.add(first.draw())).isTrue();
                    assertThat(ports.add(second.draw())).isTrue();
                }
            }
        }

        @Test
        void skipPortsThatAreInUse() throws IOException {
            try (PortRange range = PortRange.lock();
                    ServerSocket used =
                            new ServerSocket(
                                    range.draw() + 1, 1, InetAddress.getLoopbackAddress())) {
                assertThat(range.draw()).isEqualTo(used.getLocalPort() + 1);
            }
        }
    }
}
