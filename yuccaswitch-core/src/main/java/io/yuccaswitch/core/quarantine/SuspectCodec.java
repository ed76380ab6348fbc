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
 * Writes requests as text, one a line: the fingerprint, the times of the last trial and the last clearance, the
 * strikes, and the description. A strike is written as {@code pool/name@incarnation:time:certain}.
 */
final class SuspectCodec {

    /** What stands between the parts of a line. The last part may contain it. */
    private static final String SEPARATOR = " ";

    /** The number of parts of a line. */
    private static final int PARTS = 5;

    /** What stands between strikes. */
    private static final String STRIKE_SEPARATOR = ",";

    /** What stands for no strikes. */
    private static final String NONE = "-";

    /** This class has no instances. */
    private SuspectCodec() {}

    /**
     * Writes requests.
     *
     * @param suspects The requests.
     * @return The text.
     */
    static Bytes encode(Collection<Suspect> suspects) {
        return Bytes.ofUtf8(suspects.stream().map(SuspectCodec::encode).collect(Collectors.joining("\n")));
    }

    /**
     * Writes a request.
     *
     * @param suspect The request.
     * @return The line.
     */
    static String encode(Suspect suspect) {
        String strikes =
                suspect.strikes().stream().map(SuspectCodec::encode).collect(Collectors.joining(STRIKE_SEPARATOR));
        return String.join(
                SEPARATOR,
                suspect.fingerprint().toString(),
                Long.toString(suspect.trialAt()),
                Long.toString(suspect.clearedAt()),
                strikes.isEmpty() ? NONE : strikes,
                suspect.description().replaceAll("\\p{Cntrl}", "?"));
    }

    /**
     * Reads requests. A line that can't be read, such as one of a later release, is left out.
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
     * Reads a request.
     *
     * @param line The line.
     * @return The request, or empty if the line can't be read.
     */
    private static Optional<Suspect> decode(String line) {
        String[] parts = line.split(SEPARATOR, PARTS);
        Optional<RequestFingerprint> fingerprint = RequestFingerprint.parse(parts[0]);
        if (parts.length != PARTS || fingerprint.isEmpty()) {
            return Optional.empty();
        }
        try {
            List<Strike> strikes = new ArrayList<>();
            if (!parts[3].equals(NONE)) {
                for (String strike : parts[3].split(STRIKE_SEPARATOR, -1)) {
                    strikes.add(decodeStrike(strike));
                }
            }
            return Optional.of(new Suspect(
                    fingerprint.get(), parts[4], strikes, Long.parseLong(parts[1]), Long.parseLong(parts[2])));
        } catch (IllegalArgumentException | IndexOutOfBoundsException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Writes a strike.
     *
     * @param strike The strike.
     * @return The text.
     */
    private static String encode(Strike strike) {
        EndpointName endpoint = strike.endpoint();
        return endpoint.pool() + "/" + endpoint.value() + "@" + endpoint.incarnation() + ":" + strike.at() + ":"
                + strike.certain();
    }

    /**
     * Reads a strike.
     *
     * @param text The text.
     * @return The strike.
     */
    private static Strike decodeStrike(String text) {
        String[] parts = text.split("[/@:]", -1);
        EndpointName endpoint = new EndpointName(new PoolName(parts[0]), parts[1], Long.parseLong(parts[2]));
        return new Strike(endpoint, Long.parseLong(parts[3]), Boolean.parseBoolean(parts[4]));
    }
}
