package io.fescuehold.runtime.gateway;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Names and formats of the headers that callers and servers use.
 */
public interface CallerProtocol {

	/**
	 * Reads the head of a request.
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @param headers the headers
	 * @return the head; errors with code BAD_REQUEST
	 */
	CallerHead read(String method, String uri, HttpHeaders headers);

	/**
	 * Writes the headers of the request to a server.
	 * @param head the caller's request
	 * @param forwarding what the server is told besides
	 * @return the headers
	 */
	Map<String, String> forward(CallerHead head, Forwarding forwarding);

	/**
	 * Reads the head of an answer.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 * @return the head
	 */
	AnswerHead read(int status, Map<String, String> headers);

}
