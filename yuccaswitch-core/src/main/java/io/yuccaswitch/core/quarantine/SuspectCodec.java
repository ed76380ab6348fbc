package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.value.Bytes;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Encodes requests as text, one per line: the fingerprint, the times of the last trial and the last clearance, the
 * evidence, and the description. A piece of evidence is encoded as {@code pool/name@incarnation:time:certain}.
 */
final class SuspectCodec {

    /** Separates the parts of a line. The last part may contain it. */
    private static final String SEPARATOR = " ";

    /** The number of parts of a line. */
    private static final int PARTS = 5;

    /** Separates pieces of evidence. */
    private static final String EVIDENCE_SEPARATOR = ",";

    /** Denotes a request without evidence. */
    private static final String NONE = "-";

    /** This class has no instances. */
    private SuspectCodec() {}

    /**
     * Encodes requests.
     *
     * @param suspects The requests.
     * @return The text.
     */
    static Bytes encode(Collection<Suspect> suspects) {
        return Bytes.ofUtf8(suspects.stream().map(SuspectCodec::encode).collect(Collectors.joining("\n")));
    }

    /**
     * Encodes a request.
     *
     * @param suspect The request.
     * @return The line.
     */
    static String encode(Suspect suspect) {
        String crashEvidence = suspect.crashEvidence().stream()
                .map(SuspectCodec::encode)
                .collect(Collectors.joining(EVIDENCE_SEPARATOR));
        return String.join(
                SEPARATOR,
                suspect.fingerprint().toString(),
                Long.toString(suspect.trialAt()),
                Long.toString(suspect.clearedAt()),
                crashEvidence.isEmpty() ? NONE : crashEvidence,
                suspect.description().replaceAll("\\p{Cntrl}", "?"));
    }

    /**
     * Decodes requests. A line that cannot be decoded, such as one of a later release, is skipped.
     *
     * @param text The text.
     * @return The requests.
     */
    static List<Suspect> decode(Bytes text) {
        List<Suspect> suspects = new ArrayList<>();
        for (String line : text.toUtf8().split("\n", -1)) {
            decode(line).ifPresent(suspects::add);
        }
        return suspects;
    }

    /**
     * Decodes a request.
     *
     * @param line The line.
     * @return The request, or empty if the line cannot be decoded.
     */
    private static Optional<Suspect> decode(String line) {
        String[] parts = line.split(SEPARATOR, PARTS);
        Optional<RequestFingerprint> fingerprint = RequestFingerprint.parse(parts[0]);
        if (parts.length != PARTS || fingerprint.isEmpty()) {
            return Optional.empty();
        }
        try {
            List<CrashEvidence> crashEvidence = new ArrayList<>();
            if (!parts[3].equals(NONE)) {
                for (String evidence : parts[3].split(EVIDENCE_SEPARATOR, -1)) {
                    crashEvidence.add(decodeEvidence(evidence));
                }
            }
            return Optional.of(new Suspect(
                    fingerprint.get(), parts[4], crashEvidence, Long.parseLong(parts[1]), Long.parseLong(parts[2])));
        } catch (IllegalArgumentException | IndexOutOfBoundsException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Encodes a piece of evidence.
     *
     * @param evidence The evidence.
     * @return The text.
     */
    private static String encode(CrashEvidence evidence) {
        EndpointName endpoint = evidence.endpoint();
        return endpoint.pool() + "/" + endpoint.value() + "@" + endpoint.incarnation() + ":" + evidence.at() + ":"
                + evidence.certain();
    }

    /**
     * Decodes a piece of evidence.
     *
     * @param text The text.
     * @return The evidence.
     */
    private static CrashEvidence decodeEvidence(String text) {
        String[] parts = text.split("[/@:]", -1);
        EndpointName endpoint = new EndpointName(new PoolName(parts[0]), parts[1], Long.parseLong(parts[2]));
        return new CrashEvidence(endpoint, Long.parseLong(parts[3]), Boolean.parseBoolean(parts[4]));
    }
}
