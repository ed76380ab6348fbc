package io.yuccaswitch.node.disk;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SnapshotFileTest {

    @TempDir
    private Path folder;

    @Test
    void aValueIsReadBackAndReplacedCompletely() {
        SnapshotFile file = new SnapshotFile(folder.resolve("new/folder/snapshot"));
        assertThat(file.read()).isEmpty();
        assertThat(file.write(Bytes.ofUtf8("one"))).isTrue();
        assertThat(file.write(Bytes.ofUtf8("two"))).isTrue();
        assertThat(file.read()).contains(Bytes.ofUtf8("two"));
    }

    @Test
    void aTruncatedFileIsTreatedAsAbsent() throws IOException {
        Path path = folder.resolve("snapshot");
        SnapshotFile file = new SnapshotFile(path);
        file.write(Bytes.ofUtf8("a value of some length"));
        byte[] complete = Files.readAllBytes(path);
        for (int length = 0; length < complete.length; length++) {
            Files.write(path, Arrays.copyOf(complete, length));
            assertThat(file.read()).isEmpty();
        }
    }

    @Test
    void aDamagedFileIsTreatedAsAbsent() throws IOException {
        Path path = folder.resolve("snapshot");
        SnapshotFile file = new SnapshotFile(path);
        file.write(Bytes.ofUtf8("a value of some length"));
        byte[] complete = Files.readAllBytes(path);
        for (int i = 0; i < complete.length; i++) {
            byte[] damaged = complete.clone();
            damaged[i] ^= 0x40;
            Files.write(path, damaged);
            assertThat(file.read()).isEmpty();
        }
    }

    @Test
    void aCrashBeforeTheReplacementKeepsThePreviousValue() throws IOException {
        Path path = folder.resolve("snapshot");
        SnapshotFile file = new SnapshotFile(path);
        file.write(Bytes.ofUtf8("before"));
        Files.writeString(folder.resolve("snapshot.new"), "half a replacement");

        assertThat(file.read()).contains(Bytes.ofUtf8("before"));
        assertThat(file.write(Bytes.ofUtf8("after"))).isTrue();
        assertThat(file.read()).contains(Bytes.ofUtf8("after"));
    }

    @Test
    void aFailingDiskIsReportedWithoutAnException() throws IOException {
        Path occupied = folder.resolve("occupied");
        Files.writeString(occupied, "a file where the folder should be");
        assertThat(new SnapshotFile(occupied.resolve("snapshot")).write(Bytes.ofUtf8("value")))
                .isFalse();
    }
}
