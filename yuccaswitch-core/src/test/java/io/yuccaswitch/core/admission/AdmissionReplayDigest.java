package io.yuccaswitch.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

/** Prints the digest of two replays, for a comparison between JVMs. */
final class AdmissionReplayDigest {

    private AdmissionReplayDigest() {}

    /** Takes the number of identity hash codes to compute before the replays, which changes all later ones. */
    public static void main(String[] args) {
        IntStream.range(0, Integer.parseInt(args[0])).forEach(_count -> System.identityHashCode(new Object()));
        AdmissionReplay.Terms terms = new AdmissionReplay.Terms(30, 184, 1501);
        AdmissionReplay unequal = new AdmissionReplay(terms, 1, 3, 6, 20261202);
        Map<String, Double> rates = new HashMap<>(Map.of("large-0", 600.0, "large-1", 600.0));
        IntStream.range(0, 8).forEach(index -> rates.put("small-" + index, 30.0));
        unequal.runUntil(1000, rates);
        AdmissionReplay shrinking = new AdmissionReplay(terms, 1, 4, 6, 20261202);
        shrinking.runUntil(500, Map.of("one", 900.0, "two", 900.0, "three", 100.0));
        shrinking.remove(2);
        shrinking.runUntil(1000, Map.of("one", 100.0, "two", 100.0, "three", 100.0));
        System.out.println(unequal.digest() + " " + shrinking.digest());
    }
}
