package io.yuccaswitch.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.settings.SettingsValue.TextValue;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SettingsFolderTest {

    @Test
    void filesAreMergedInTheOrderOfTheirNames(@TempDir Path folder) throws IOException {
        Files.writeString(folder.resolve("20-override.json"), "{\n\"site\": \"later\", \"lease\": {\"b\": \"2\"}}");
        Files.writeString(folder.resolve("10-base.json"), "{\"site\": \"earlier\", \"lease\": {\"a\": \"1\"}}");
        Files.writeString(folder.resolve("notes.txt"), "not settings");
        Files.writeString(folder.resolve(".30-hidden.json"), "{\"site\": \"hidden\"}");
        SettingsFolder settings = SettingsFolder.read(folder);
        assertThat(settings.files()).containsExactly("10-base.json", "20-override.json");
        assertThat(settings.find(KeyPath.of("site")))
                .contains(new TextValue("later", new SourcePosition("20-override.json", 2)));
        assertThat(settings.find(KeyPath.of("lease", "a")))
                .contains(new TextValue("1", new SourcePosition("10-base.json", 1)));
        assertThat(settings.find(KeyPath.of("lease", "b"))).isPresent();
    }

    @Test
    void aFolderThatIsMissingOrEmptyIsAnError(@TempDir Path folder) {
        for (Path path : List.of(folder, folder.resolve("missing"))) {
            assertThat(SettingsFolder.read(path).errors()).singleElement().satisfies(error -> assertThat(error.code())
                    .isEqualTo(SettingsErrorCode.UNREADABLE));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "// nothing", "[]", "{\"a\": 1", "{\"a\": }", "{} {}", "{\"a\": 1} x", "{\"a\": \"\\u12\"}"})
    void aFileThatIsNotOneObjectIsASyntaxError(String text) {
        SettingsFolder settings = SettingsFolder.ofTexts("folder", Map.of("a.json", text));
        assertThat(settings.errors()).singleElement().satisfies(error -> assertThat(error.code())
                .isEqualTo(SettingsErrorCode.SYNTAX));
    }
}
