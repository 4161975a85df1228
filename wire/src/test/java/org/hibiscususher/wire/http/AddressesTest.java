package org.hibiscususher.wire.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AddressesTest {
    @Nested
    class WellFormed {
        @Test
        void isAnIpNumberAndAPort() {
            InetSocketAddress v4 = Addresses.parse("192.0.2.1:65535");
            assertThat(v4.getAddress().getHostAddress()).isEqualTo("192.0.2.1");
            assertThat(v4.getPort()).isEqualTo(65_535);
            InetSocketAddress v6 = Addresses.parse("[2001:db8::1]:0");
            assertThat(v6.getAddress().getHostAddress()).isEqualTo("2001:db8:0:0:0:0:0:1");
            assertThat(v6.getPort()).isZero();
        }
    }

    @Nested
    class Malformed {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    ":",
                    "192.0.2.1",
                    "192.0.2.1:",
                    "192.0.2.1:-1",
                    "192.0.2.1:+80",
                    "192.0.2.1:65536",
                    "192.0.2.1:99999999999999999999",
                    "192.0.2.1:x",
                    "192.0.2.1:\u0661",
                    "192.0.2.256:80",
                    "[192.0.2.1]:80",
                    "2001:db8::1]:80",
                    ":80"
                })
        void isRejected(String address) {
            assertThatThrownBy(() -> Addresses.parse(address))
                    .isInstanceOf(IllegalArgumentException.class);
        }

        /** Resolving a name blocks the event loop, and with it the renewal of leases. */
        @ParameterizedTest
        @ValueSource(strings = {"localhost:80", "host.invalid:80", "1.2:80"})
        void includesHostNamesThatWouldBlockTheThread(String address) {
            assertThatThrownBy(() -> Addresses.parse(address))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
