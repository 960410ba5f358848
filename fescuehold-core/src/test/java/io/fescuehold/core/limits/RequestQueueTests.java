package io.fescuehold.core.limits;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the queue is bounded, that expired requests are not served and that one team
 * does not delay the others.
 */
class RequestQueueTests {

	private static final RequestQueue.Limits LIMITS = new RequestQueue.Limits(4, 2_000);

	private final RequestQueue<String> queue = new RequestQueue<>(1);

	private QueueOffer<String> offer(String item, String team, Priority priority, long deadlineMs) {
		return this.queue.offer(item, new RequestQueue.Place(team, 1, priority, 100, deadlineMs), LIMITS, 0);
	}

	@Test
	void servesHigherPrioritiesFirstAndAlternatesTeams() {
		offer("a1", "a", Priority.NORMAL, 9_000);
		offer("a2", "a", Priority.NORMAL, 9_000);
		offer("b1", "b", Priority.NORMAL, 9_000);
		offer("h1", "a", Priority.HIGH, 9_000);
		assertThat(this.queue.poll(1)).isEqualTo("h1");
		assertThat(this.queue.poll(1)).isIn("a1", "b1");
		assertThat(this.queue.poll(1)).isIn("a1", "b1");
		assertThat(this.queue.poll(1)).isEqualTo("a2");
		assertThat(this.queue.poll(1)).isNull();
	}

	@Test
	void fullQueueRefusesOrDisplacesLowerPriority() {
		for (int number = 0; number < 4; number++) {
			offer("low" + number, "a", Priority.LOW, 9_000);
		}
		assertThat(offer("low4", "b", Priority.LOW, 9_000)).isInstanceOf(QueueOffer.Refused.class);
		assertThat(offer("high", "b", Priority.HIGH, 9_000)).isInstanceOfSatisfying(QueueOffer.Displaced.class,
				(displaced) -> assertThat(displaced.displaced()).isEqualTo("low3"));
		assertThat(this.queue.size()).isEqualTo(4);
	}

	@Test
	void expiredEntriesAreReturnedAndNeverServed() {
		offer("brief", "a", Priority.NORMAL, 500);
		offer("long", "a", Priority.NORMAL, 60_000);
		assertThat(this.queue.nextExpiryMs()).isEqualTo(500);
		assertThat(this.queue.removeExpired(500)).containsExactly("brief");
		assertThat(this.queue.poll(2_000)).isNull();
		assertThat(this.queue.removeExpired(2_000)).containsExactly("long");
		assertThat(this.queue.size()).isZero();
	}

	@Test
	void entriesOfDisconnectedCallersAreRemoved() {
		offer("gone", "a", Priority.NORMAL, 9_000);
		assertThat(this.queue.remove("gone")).isTrue();
		assertThat(this.queue.remove("gone")).isFalse();
		assertThat(this.queue.poll(1)).isNull();
	}

	@Test
	void requestThatWouldExpireBeforeItsTurnIsRefusedAtOnceWithoutAffectingOtherTeams() {
		RequestQueue.Limits limits = new RequestQueue.Limits(100, 2_000);
		RequestQueue.Place surging = new RequestQueue.Place("surging", 1, Priority.NORMAL, 100, 60_000);
		for (int number = 0; number < 10; number++) {
			this.queue.offer("served" + number, surging, limits, number * 500L);
			this.queue.poll(number * 500L);
		}
		int queued = 0;
		while (queued < 100
				&& this.queue.offer("s" + queued, surging, limits, 5_000) instanceof QueueOffer.Queued<String>) {
			queued++;
		}
		// At two requests per second, about four are served within two seconds.
		assertThat(queued).isBetween(2, 8);
		RequestQueue.Place other = new RequestQueue.Place("other", 1, Priority.NORMAL, 100, 60_000);
		assertThat(this.queue.offer("o", other, limits, 5_000)).isInstanceOf(QueueOffer.Queued.class);
	}

	@Test
	void servesRanksInOrderAndTheCallersOfATeamByTheTimeThatTheyHaveLeft() {
		for (String item : new String[] { "7:900", "2:800", "7:300", "2:700" }) {
			String[] parts = item.split(":");
			RequestQueue.Place place = new RequestQueue.Place("a", 1, Integer.parseInt(parts[0]), 1, 9_000,
					Long.parseLong(parts[1]));
			this.queue.offer(item, place, LIMITS, 0);
		}
		assertThat(this.queue.nextRank()).isEqualTo(2);
		assertThat(this.queue.poll(1)).isEqualTo("2:700");
		assertThat(this.queue.poll(1)).isEqualTo("2:800");
		assertThat(this.queue.poll(1)).isEqualTo("7:300");
		assertThat(this.queue.poll(1)).isEqualTo("7:900");
	}

}
