package org.hibiscususher.standin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WarmTest {
    @Nested
    class Inner {
        @Test
        void works() {
            assertThat(1).isEqualTo(1);
        }
    }
}
