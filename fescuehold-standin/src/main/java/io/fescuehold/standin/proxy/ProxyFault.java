package io.fescuehold.standin.proxy;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Fault that a proxy injects. In JSON the property {@code mode} names the record, for
 * example {@code {"mode":"delay","delayMs":50}}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "mode")
@JsonSubTypes({ @JsonSubTypes.Type(value = ProxyFault.Pass.class, name = "pass"),
		@JsonSubTypes.Type(value = ProxyFault.Cut.class, name = "cut"),
		@JsonSubTypes.Type(value = ProxyFault.Refuse.class, name = "refuse"),
		@JsonSubTypes.Type(value = ProxyFault.Silent.class, name = "silent"),
		@JsonSubTypes.Type(value = ProxyFault.Hold.class, name = "hold"),
		@JsonSubTypes.Type(value = ProxyFault.SilenceExisting.class, name = "silenceExisting"),
		@JsonSubTypes.Type(value = ProxyFault.Delay.class, name = "delay"),
		@JsonSubTypes.Type(value = ProxyFault.Throttle.class, name = "throttle"),
		@JsonSubTypes.Type(value = ProxyFault.CutAfter.class, name = "cutAfter") })
public sealed interface ProxyFault {

	/**
	 * Passes all bytes.
	 */
	record Pass() implements ProxyFault {
	}

	/**
	 * Resets all open connections once; new connections pass.
	 */
	record Cut() implements ProxyFault {
	}

	/**
	 * Refuses new connections and resets the open ones.
	 */
	record Refuse() implements ProxyFault {
	}

	/**
	 * Drops bytes while connections stay open. A connection that lost bytes stays silent
	 * in that direction permanently, because TCP never delivers bytes after a gap.
	 *
	 * @param direction the directions in which bytes are dropped, default both
	 */
	record Silent(Direction direction) implements ProxyFault {

		public Silent {
			direction = (direction != null) ? direction : Direction.BOTH;
		}

	}

	/**
	 * Holds bytes back while connections stay open and delivers them when the fault ends,
	 * like a network partition that heals before a TCP timeout.
	 *
	 * @param direction the directions in which bytes are held back, default both
	 */
	record Hold(Direction direction) implements ProxyFault {

		public Hold {
			direction = (direction != null) ? direction : Direction.BOTH;
		}

	}

	/**
	 * Silences the open connections permanently; new connections pass.
	 */
	record SilenceExisting() implements ProxyFault {
	}

	/**
	 * Delivers bytes late, in both directions.
	 *
	 * @param delayMs the delay in each direction in milliseconds
	 */
	record Delay(long delayMs) implements ProxyFault {

		public Delay {
			if (delayMs < 0) {
				throw new IllegalArgumentException("delayMs is " + delayMs + "; send 0 or more");
			}
		}

	}

	/**
	 * Limits the rate of each direction of each connection.
	 *
	 * @param bytesPerS the bytes per second
	 */
	record Throttle(long bytesPerS) implements ProxyFault {

		public Throttle {
			if (bytesPerS < 1) {
				throw new IllegalArgumentException("bytesPerS is " + bytesPerS + "; send 1 or more");
			}
		}

	}

	/**
	 * Resets a connection once a number of bytes has passed in one direction.
	 *
	 * @param bytes the number of bytes that pass, counted from the start of the
	 * connection
	 * @param direction the direction that is counted, default to the client
	 */
	record CutAfter(long bytes, Direction direction) implements ProxyFault {

		public CutAfter {
			direction = (direction != null) ? direction : Direction.TO_CLIENT;
			if (bytes < 0) {
				throw new IllegalArgumentException("bytes is " + bytes + "; send 0 or more");
			}
		}

	}

}
