package io.fescuehold.runtime.gateway;

/**
 * What the head of a server's answer says.
 *
 * @param requestId the request that it answers, or null if it does not say
 * @param signed whether it carries the server's signature
 * @param notRun whether the server states that it did not run the request
 * @param otherInstance whether another instance than the one that was meant answered
 */
public record AnswerHead(String requestId, boolean signed, boolean notRun, boolean otherInstance) {

}
