package io.fescuehold.client;

import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a client.
 *
 * @param entries the entry hosts, at least one
 * @param team the team that the requests are counted for
 * @param connectLimitMs the connect timeout in milliseconds
 * @param entryLimitMs the response timeout of one entry host in milliseconds
 * @param headerLimitMs the time in milliseconds for a router to start its response to a
 * chat request
 * @param stallLimitMs the longest stall of a stream that the caller should see, in
 * milliseconds; a stream is resumed at another router after half of it without any byte
 * @param answerLimitMs the response timeout of one attempt of a service call in
 * milliseconds
 * @param chatTimeoutMs the time for a whole chat answer in milliseconds, unless the
 * request sets its own
 * @param serviceTimeoutMs the time for a whole service call in milliseconds, unless the
 * request sets its own
 * @param trustedCertificates the file of trusted certificates in PEM form, or null for
 * connections without TLS
 */
record ClientOptions(List<Address> entries, String team, int connectLimitMs, int entryLimitMs, int headerLimitMs,
		int stallLimitMs, int answerLimitMs, int chatTimeoutMs, int serviceTimeoutMs, Path trustedCertificates) {

	ClientOptions {
		entries = List.copyOf(entries);
		if (entries.isEmpty()) {
			throw new IllegalArgumentException("No entry host is set; add at least one with entry(\"ip:port\")");
		}
		if (team == null || team.isBlank()) {
			throw new IllegalArgumentException("No team is set; name the team that the requests are counted for");
		}
		for (int limitMs : new int[] { connectLimitMs, entryLimitMs, headerLimitMs, stallLimitMs, answerLimitMs,
				chatTimeoutMs, serviceTimeoutMs }) {
			if (limitMs < 1) {
				throw new IllegalArgumentException("A time limit of the client is " + limitMs + " ms; use 1 or more");
			}
		}
	}

}
