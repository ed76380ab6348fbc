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

/** What a reader of the log that stands still does to those who log. */
@Isolated
final class SlowLogReaderTest {

    @Test
    void aReaderThatStandsStillBlocksNobody() throws InterruptedException {
        PrintStream before = System.out;
        CountDownLatch reading = new CountDownLatch(1);
        System.setOut(new PrintStream(new StandingStill(reading), true, StandardCharsets.UTF_8));
        Thread logging = new Thread(SlowLogReaderTest::logMuch);
        try {
            LogConfiguration.apply(new LogSettings(LogFormat.KEY_VALUE, Map.of()));
            logging.start();
            logging.join(TimeUnit.SECONDS.toMillis(30));
            assertThat(logging.isAlive()).isFalse();
        } finally {
            reading.countDown();
            System.setOut(before);
            LogConfiguration.apply(new LogSettings(LogFormat.KEY_VALUE, Map.of()));
        }
    }

    private static void logMuch() {
        Logger logger = Logger.getLogger(SlowLogReaderTest.class);
        for (int line = 0; line < 20_000; line++) {
            logger.infof("event=line number=%d", line);
        }
    }

    /** A stream whose writes wait until it is read. */
    private static final class StandingStill extends OutputStream {

        private final CountDownLatch reading;

        StandingStill(CountDownLatch reading) {
            this.reading = reading;
        }

        @Override
        public void write(int _value) {
            try {
                reading.await();
            } catch (InterruptedException _exception) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
