package io.fescuehold.core.state;

/**
 * The retained metadata of an accepted submission.
 *
 * @param number the number of the submission
 * @param digest the digest of the content
 * @param operator the operator who submitted it
 * @param acceptedAtMs the time of acceptance in milliseconds since the epoch
 */
public record AcceptedSubmission(long number, String digest, String operator, long acceptedAtMs) {

}
