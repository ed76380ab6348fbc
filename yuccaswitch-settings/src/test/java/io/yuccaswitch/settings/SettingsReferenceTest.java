package io.yuccaswitch.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class SettingsReferenceTest {

    private static final Path REFERENCE_PAGE = Path.of("..", "docs", "CONFIGURATION.md");

    /** Run with {@code -Dyuccaswitch.reference.write=true} to regenerate the page. */
    @Test
    void theCommittedPageMatchesTheAnnotations() throws IOException {
        if (Boolean.getBoolean("yuccaswitch.reference.write")) {
            Files.writeString(REFERENCE_PAGE, SettingsReference.fleetPage());
        }
        assertThat(REFERENCE_PAGE).hasContent(SettingsReference.fleetPage());
    }

    @Test
    void aRowShowsTypeUnitDefaultBoundsAndMeaning() {
        assertThat(SettingsReference.fleetPage())
                .contains("| `maximumBodyBytes` | a whole number | bytes | `4194304` | from 1024 to 67108864 |"
                        + " The largest body of a request. |")
                .contains("## `pools.<name>.retry`");
    }
}
