package io.yuccaswitch.node.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** Guards against threads that block on logging because the reader of standard output is stuck. */
@Isolated
final class SlowLogReaderTest {

    @Test
    void aBlockedReaderDoesNotBlockLoggingThreads() throws InterruptedException {
        PrintStream originalOutput = System.out;
        CountDownLatch resumed = new CountDownLatch(1);
        System.setOut(new PrintStream(new BlockedStream(resumed), true, StandardCharsets.UTF_8));
        Thread logging = new Thread(SlowLogReaderTest::logManyLines);
        try {
            LogConfiguration.apply(new LogSettings(LogFormat.KEY_VALUE, Map.of()));
            logging.start();
            logging.join(TimeUnit.SECONDS.toMillis(30));
            assertThat(logging.isAlive()).isFalse();
        } finally {
            resumed.countDown();
            System.setOut(originalOutput);
            LogConfiguration.apply(new LogSettings(LogFormat.KEY_VALUE, Map.of()));
        }
    }

    private static void logManyLines() {
        Logger logger = Logger.getLogger(SlowLogReaderTest.class);
        for (int line = 0; line < 20_000; line++) {
            logger.infof("event=line number=%d", line);
        }
    }

    /** A stream whose writes block until the reader resumes. */
    private static final class BlockedStream extends OutputStream {

        private final CountDownLatch resumed;

        BlockedStream(CountDownLatch resumed) {
            this.resumed = resumed;
        }

        @Override
        public void write(int _value) {
            try {
                resumed.await();
            } catch (InterruptedException _exception) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
