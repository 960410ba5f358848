package io.fescuehold.client;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builder of {@link FescueholdClient}.
 */
public final class FescueholdClientBuilder {

	private static final int DEFAULT_CONNECT_LIMIT_MS = 1_000;

	private static final int DEFAULT_ENTRY_LIMIT_MS = 1_000;

	private static final int DEFAULT_HEADER_LIMIT_MS = 5_000;

	private static final int DEFAULT_STALL_LIMIT_MS = 2_000;

	private static final int DEFAULT_ANSWER_LIMIT_MS = 10_000;

	private static final int DEFAULT_CHAT_TIMEOUT_MS = 600_000;

	private static final int DEFAULT_SERVICE_TIMEOUT_MS = 60_000;

	private final List<Address> entries = new ArrayList<>();

	private String team;

	private int connectLimitMs = DEFAULT_CONNECT_LIMIT_MS;

	private int entryLimitMs = DEFAULT_ENTRY_LIMIT_MS;

	private int headerLimitMs = DEFAULT_HEADER_LIMIT_MS;

	private int stallLimitMs = DEFAULT_STALL_LIMIT_MS;

	private int answerLimitMs = DEFAULT_ANSWER_LIMIT_MS;

	private int chatTimeoutMs = DEFAULT_CHAT_TIMEOUT_MS;

	private int serviceTimeoutMs = DEFAULT_SERVICE_TIMEOUT_MS;

	private Path trustedCertificates;

	FescueholdClientBuilder() {
	}

	/**
	 * Adds an entry host.
	 * @param address {@code ip:port}
	 * @return this builder
	 */
	public FescueholdClientBuilder entry(String address) {
		this.entries.add(Address.parse(address));
		return this;
	}

	/**
	 * Sets the team that the requests are counted for.
	 * @param newTeam the team
	 * @return this builder
	 */
	public FescueholdClientBuilder team(String newTeam) {
		this.team = newTeam;
		return this;
	}

	/**
	 * Sets the connect timeout, default 1,000 ms.
	 * @param limitMs the time in milliseconds
	 * @return this builder
	 */
	public FescueholdClientBuilder connectLimitMs(int limitMs) {
		this.connectLimitMs = limitMs;
		return this;
	}

	/**
	 * Sets the response timeout of one entry host, default 1,000 ms.
	 * @param limitMs the time in milliseconds
	 * @return this builder
	 */
	public FescueholdClientBuilder entryLimitMs(int limitMs) {
		this.entryLimitMs = limitMs;
		return this;
	}

	/**
	 * Sets the time for a router to start its response to a chat request, default 5,000
	 * ms.
	 * @param limitMs the time in milliseconds
	 * @return this builder
	 */
	public FescueholdClientBuilder headerLimitMs(int limitMs) {
		this.headerLimitMs = limitMs;
		return this;
	}

	/**
	 * Sets the longest stall of a stream that the caller should see, default 2,000 ms. A
	 * stream is resumed at another router after half of it without any byte, heartbeats
	 * included.
	 * @param limitMs the time in milliseconds
	 * @return this builder
	 */
	public FescueholdClientBuilder stallLimitMs(int limitMs) {
		this.stallLimitMs = limitMs;
		return this;
	}

	/**
	 * Sets the response timeout of one attempt of a service call, default 10,000 ms.
	 * @param limitMs the time in milliseconds
	 * @return this builder
	 */
	public FescueholdClientBuilder answerLimitMs(int limitMs) {
		this.answerLimitMs = limitMs;
		return this;
	}

	/**
	 * Sets the time for a whole chat answer, default 600,000 ms.
	 * @param limitMs the time in milliseconds
	 * @return this builder
	 */
	public FescueholdClientBuilder chatTimeoutMs(int limitMs) {
		this.chatTimeoutMs = limitMs;
		return this;
	}

	/**
	 * Sets the time for a whole service call, default 60,000 ms.
	 * @param limitMs the time in milliseconds
	 * @return this builder
	 */
	public FescueholdClientBuilder serviceTimeoutMs(int limitMs) {
		this.serviceTimeoutMs = limitMs;
		return this;
	}

	/**
	 * Enables TLS and trusts the certificates in a file. Routers are addressed by IP, so
	 * their certificates must name the IP address.
	 * @param pemFile the certificates in PEM form
	 * @return this builder
	 */
	public FescueholdClientBuilder trustedCertificates(Path pemFile) {
		this.trustedCertificates = pemFile;
		return this;
	}

	/**
	 * Creates the client.
	 * @return the client
	 * @throws IllegalArgumentException if no entry host or no team is set, or a time
	 * limit is less than 1 ms
	 */
	public FescueholdClient build() {
		return new FescueholdClient(new ClientOptions(this.entries, this.team, this.connectLimitMs, this.entryLimitMs,
				this.headerLimitMs, this.stallLimitMs, this.answerLimitMs, this.chatTimeoutMs, this.serviceTimeoutMs,
				this.trustedCertificates));
	}

}
