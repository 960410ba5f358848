package io.fescuehold.core.state;

/**
 * What is kept of an accepted submission.
 *
 * @param number the number
 * @param digest the digest of the content
 * @param operator the operator who submitted it
 * @param acceptedAtMs the time of acceptance in milliseconds since the epoch
 */
public record AcceptedSubmission(long number, String digest, String operator, long acceptedAtMs) {

}
