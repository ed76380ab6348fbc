package io.yuccaswitch.http;

import java.util.Locale;

/** The reasons for which received bytes are no valid answer. */
public enum AnswerFault {
    /** The bytes do not start with a status line. */
    STATUS_LINE,
    /** The status is not that of a final answer. */
    STATUS_CODE,
    /** There are too many interim answers. */
    INTERIM_ANSWERS,
    /** A further status line follows within the head, so that the head consists of two answers. */
    SECOND_STATUS_LINE,
    /** A line of the head has no valid name, or continues the line before. */
    HEADER_NAME,
    /** A header contains a control character. */
    HEADER_VALUE,
    /** The length is not a single number, or contradicts the status or the transfer coding. */
    CONTENT_LENGTH,
    /** The transfer coding is not supported. */
    TRANSFER_CODING,
    /** The head is too large. */
    HEAD_SIZE,
    /** A chunk has no valid size or does not end where its size states. */
    CHUNK,
    /** The lines after the last chunk are invalid or too large. */
    TRAILER;

    /**
     * Returns the name of this fault in logs and metrics.
     *
     * @return The name in lower case, with hyphens.
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
