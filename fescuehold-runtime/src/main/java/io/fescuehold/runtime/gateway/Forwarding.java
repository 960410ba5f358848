package io.fescuehold.runtime.gateway;

/**
 * What a server is told besides the caller's own headers.
 *
 * @param instanceId the instance that is meant; another one at the same address must not
 * run the request
 * @param leftMs the time in milliseconds that is left for the request
 * @param team the team of the caller, or null
 * @param urgency the rank at a model engine, 0 is the most urgent, or null
 * @param copyFrom the address of a server to copy parts of the prompt from, or null
 * @param resumeAfter the position after which a stream continues, or 0
 */
public record Forwarding(String instanceId, long leftMs, String team, Integer urgency, String copyFrom,
		long resumeAfter) {

}
