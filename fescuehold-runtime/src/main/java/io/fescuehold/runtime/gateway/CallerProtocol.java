package io.fescuehold.runtime.gateway;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Maps between HTTP headers and the attributes of requests and responses that the gateway
 * uses.
 */
public interface CallerProtocol {

	/**
	 * Parses the request line and headers of a request.
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @param headers the headers
	 * @return the head; errors with code BAD_REQUEST
	 */
	CallerHead read(String method, String uri, HttpHeaders headers);

	/**
	 * Creates the headers of a request to a server.
	 * @param head the caller's request
	 * @param forwarding the additional information for the server
	 * @return the headers
	 */
	Map<String, String> forward(CallerHead head, Forwarding forwarding);

	/**
	 * Creates the headers of a request that another host passes on to a server.
	 * @param head the caller's request
	 * @param leftMs the time in milliseconds that remains until the deadline
	 * @param resumeAfter the position after which a stream continues, or a negative
	 * number to leave it to the caller's headers
	 * @return the headers, with which the other host admits the request like this one
	 */
	Map<String, String> relay(CallerHead head, long leftMs, long resumeAfter);

	/**
	 * Parses the headers of a response.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 * @return the head
	 */
	AnswerHead read(int status, Map<String, String> headers);

}
