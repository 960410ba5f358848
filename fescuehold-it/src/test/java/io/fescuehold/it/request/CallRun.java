package io.fescuehold.it.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.fescuehold.client.FescueholdClient;
import io.fescuehold.client.FescueholdClientException;
import io.fescuehold.client.RunStatus;
import io.fescuehold.client.ServiceAnswer;
import io.fescuehold.client.ServiceRequest;
import io.fescuehold.standin.service.PlainService;

/**
 * One non-idempotent call and its outcome for the caller.
 */
final class CallRun {

	private final String key;

	private final CompletableFuture<ServiceAnswer> answer;

	private CallRun(String key, CompletableFuture<ServiceAnswer> answer) {
		this.key = key;
		this.answer = answer;
	}

	/**
	 * Starts a call.
	 * @param client the caller
	 * @param key the idempotency key, from which the body is derived
	 * @return the running call
	 */
	static CallRun start(FescueholdClient client, String key) {
		return new CallRun(key,
				client.call(ServiceRequest.post(RequestFleet.SERVICE, "/parts", requestBody(key), key)).toFuture());
	}

	private static byte[] requestBody(String key) {
		return ("{\"part\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8);
	}

	static String requestBodyText(String key) {
		return new String(requestBody(key), StandardCharsets.UTF_8);
	}

	/**
	 * Returns the expected response to a call.
	 * @param key the idempotency key of the call
	 * @return the body of the response
	 */
	static String expectedResponse(String key) {
		return RequestFleet.toJson(PlainService.deterministicAnswer("POST", "/parts", requestBody(key)));
	}

	boolean ended() {
		return this.answer.isDone();
	}

	String key() {
		return this.key;
	}

	/**
	 * Waits for the outcome.
	 * @param timeout the longest time to wait
	 * @return the outcome
	 * @throws AssertionError if the call does not end within that time, or fails without
	 * a run status
	 */
	Outcome await(Duration timeout) {
		try {
			ServiceAnswer response = this.answer.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
			return new Outcome(response.status() + " " + response.text(), null,
					response.text().equals(expectedResponse(this.key)));
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof FescueholdClientException failure) {
				return new Outcome(failure.getMessage(), failure, false);
			}
			throw new AssertionError("Call " + this.key + " failed without a run status", ex);
		}
		catch (TimeoutException ex) {
			throw new AssertionError("Call " + this.key + " did not end within " + timeout.toMillis() + " ms", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The wait was interrupted", ex);
		}
	}

	/**
	 * The outcome of a call.
	 *
	 * @param text the response or the message of the failure
	 * @param failure the failure, or null if there is a response
	 * @param complete whether the response is the expected one
	 */
	record Outcome(String text, FescueholdClientException failure, boolean complete) {

		/**
		 * Returns whether the outcome is consistent with the execution log.
		 * @param executions the number of executions of the call in the log
		 * @return whether the expected response belongs to one execution, or the run
		 * status of the failure does not contradict the log
		 */
		boolean isConsistentWith(long executions) {
			if (this.failure == null) {
				return this.complete && executions == 1;
			}
			return executions <= 1 && (this.failure.run() != RunStatus.NO || executions == 0)
					&& (this.failure.run() != RunStatus.YES || executions == 1);
		}

	}

}
