package io.yuccaswitch.node.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.ConsoleAppender;
import java.util.ServiceLoader;
import org.junit.jupiter.api.Test;

final class EarlyLogConfigurationTest {

    @Test
    void theConfigurationIsRegisteredAsAService() {
        assertThat(ServiceLoader.load(Configurator.class)).hasAtLeastOneElementOfType(EarlyLogConfiguration.class);
    }

    @Test
    void onlyWarningsAreWrittenToStandardError() {
        LoggerContext context = new LoggerContext();
        Configurator.ExecutionStatus status = new EarlyLogConfiguration().configure(context);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        assertThat(root.getLevel()).isEqualTo(Level.WARN);
        assertThat(root.iteratorForAppenders().next())
                .isInstanceOfSatisfying(ConsoleAppender.class, appender -> assertThat(appender.getTarget())
                        .isEqualTo("System.err"));
        assertThat(status).isEqualTo(Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
    }
}
