package io.fescuehold.runtime.gateway;

/**
 * Information that the gateway adds to the caller's headers when it forwards a request.
 *
 * @param instanceId the addressed instance; another instance at the same address must not
 * run the request
 * @param leftMs the time in milliseconds that remains until the deadline of the request
 * @param team the team of the caller, or null
 * @param urgency the priority at a model engine, 0 is the most urgent, or null
 * @param copyFrom the address of a server to copy parts of the prompt from, or null
 * @param resumeAfter the position after which a stream continues, or 0
 */
public record Forwarding(String instanceId, long leftMs, String team, Integer urgency, String copyFrom,
		long resumeAfter) {

}
