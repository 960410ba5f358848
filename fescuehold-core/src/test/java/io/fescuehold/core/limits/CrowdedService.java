package io.fescuehold.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.fescuehold.core.servers.RequestDemand;

/**
 * Callers of a service with 18 places, behind hosts that know each other's requests late.
 * The service runs requests in the order of arrival and rejects those that find its queue
 * full, unaware of teams and ranks. Callers who are refused return once.
 */
final class CrowdedService {

	static final int OBJECTIVE_MS = 195;

	private static final int HOSTS = 35;

	private static final int SLOTS = 18;

	private static final int QUEUE = 72;

	private static final int WORK_MS = 43;

	private static final int LIMIT_MS = 1_519;

	private static final int TIMEOUT_MS = 800;

	private static final int REPORT_MS = 400;

	private final boolean admits;

	private final SplittableRandom random;

	private final List<ServiceAdmission<Call>> hosts = new ArrayList<>();

	private final int[] own = new int[HOSTS];

	private int[] reported = new int[HOSTS];

	private final Deque<Call> queue = new ArrayDeque<>();

	private final List<Call> running = new ArrayList<>();

	private final Map<Long, List<Call>> returning = new TreeMap<>();

	private final Map<String, int[]> outcomes = new TreeMap<>();

	/**
	 * How often callers who are refused return at once, ignoring the time they were
	 * given.
	 */
	private int impatientTries;

	private int held;

	private long nowMs;

	CrowdedService(boolean admits, long seed) {
		this.admits = admits;
		this.random = new SplittableRandom(seed);
		for (int host = 0; host < HOSTS; host++) {
			this.hosts.add(new ServiceAdmission<>("desk", new ReturnSchedule(), 0));
		}
	}

	/**
	 * Plays some time.
	 * @param forMs the time in milliseconds
	 * @param ratesPerS the requests per second by team
	 * @param clump how many requests arrive together
	 * @return this
	 */
	CrowdedService play(long forMs, Map<String, Double> ratesPerS, int clump) {
		for (long untilMs = this.nowMs + forMs; this.nowMs < untilMs; this.nowMs++) {
			new TreeMap<>(ratesPerS).forEach((team, ratePerS) -> {
				if (this.random.nextDouble() < ratePerS / 1_000 / clump) {
					int host = this.random.nextInt(HOSTS);
					for (int number = 0; number < clump; number++) {
						arrive(new Call(team, host, this.nowMs, WORK_MS / 2 + this.random.nextInt(WORK_MS)));
					}
				}
			});
			List<Call> back = this.returning.remove(this.nowMs);
			if (back != null) {
				back.forEach(this::arrive);
			}
			step();
		}
		return this;
	}

	CrowdedService impatient(int tries) {
		this.impatientTries = tries;
		return this;
	}

	// All callers of some time return at once, as after a loss of power.
	CrowdedService returnAtOnce(Map<String, Double> ratesPerS, long ofMs) {
		new TreeMap<>(ratesPerS).forEach((team, ratePerS) -> {
			for (int number = 0; number < ratePerS * ofMs / 1_000; number++) {
				arrive(new Call(team, this.random.nextInt(HOSTS), this.nowMs, WORK_MS));
			}
		});
		return this;
	}

	/** The requests in aim, late and lost of the teams whose names begin so. */
	private int[] outcomes(String teams) {
		int[] sum = new int[3];
		this.outcomes.forEach((team, counts) -> {
			for (int index = 0; team.startsWith(teams) && index < sum.length; index++) {
				sum[index] += counts[index];
			}
		});
		return sum;
	}

	double inAim(String teams) {
		int[] counts = outcomes(teams);
		return (double) counts[0] / (counts[0] + counts[1] + counts[2]);
	}

	double served(String teams) {
		int[] counts = outcomes(teams);
		return (double) (counts[0] + counts[1]) / (counts[0] + counts[1] + counts[2]);
	}

	/** The requests that waited at a host or were refused there. */
	int held() {
		return this.held;
	}

	void reset() {
		this.outcomes.clear();
	}

	private void count(Call call, int outcome) {
		this.outcomes.computeIfAbsent(call.team, (team) -> new int[3])[outcome]++;
	}

	private ServiceRoom room(int host) {
		int others = -this.reported[host];
		for (int requests : this.reported) {
			others += requests;
		}
		return new ServiceRoom(SLOTS, this.own[host], others, HOSTS);
	}

	private void arrive(Call call) {
		if (!this.admits) {
			send(call);
			return;
		}
		RequestDemand demand = new RequestDemand(0, 0, 2, call.team, OBJECTIVE_MS,
				Math.min(call.firstMs + LIMIT_MS, this.nowMs + TIMEOUT_MS));
		ServiceAdmission.Caller caller = new ServiceAdmission.Caller("entry", call.firstMs + LIMIT_MS - this.nowMs);
		switch (this.hosts.get(call.host).offer(call, demand, caller, room(call.host), this.nowMs)) {
			case ServiceDecision.Pass<Call> pass -> send(call);
			case ServiceDecision.Refused<Call> refused -> {
				this.held++;
				refuse(call, refused.retryAfterMs());
			}
			case ServiceDecision.Wait<Call> wait -> {
				this.held++;
				if (wait.displaced() != null) {
					refuse(wait.displaced(), wait.displacedRetryAfterMs());
				}
			}
		}
	}

	private void send(Call call) {
		if (this.queue.size() >= QUEUE) {
			refuse(call, this.admits ? 400 : 150);
			return;
		}
		call.room = room(call.host);
		call.sentMs = this.nowMs;
		this.own[call.host]++;
		this.queue.add(call);
	}

	private void refuse(Call call, long retryAfterMs) {
		long againMs = this.nowMs
				+ ((this.impatientTries > 0) ? 1 : Math.min(retryAfterMs, (call.firstMs + LIMIT_MS - this.nowMs) / 3));
		if (call.tries >= Math.max(1, this.impatientTries) || againMs - call.firstMs > LIMIT_MS) {
			count(call, 2);
			return;
		}
		Call again = new Call(call.team, this.random.nextInt(HOSTS), call.firstMs, call.workMs);
		again.tries = call.tries + 1;
		this.returning.computeIfAbsent(Math.max(againMs, this.nowMs + 1), (time) -> new ArrayList<>()).add(again);
	}

	private void step() {
		this.running.removeIf((call) -> {
			boolean done = this.nowMs >= call.endsMs;
			if (done) {
				this.own[call.host]--;
				long tookMs = this.nowMs - call.firstMs;
				count(call, (tookMs <= OBJECTIVE_MS) ? 0 : (tookMs <= LIMIT_MS) ? 1 : 2);
				this.hosts.get(call.host).served(call.room, room(call.host), this.nowMs - call.sentMs, this.nowMs);
			}
			return done;
		});
		while (this.running.size() < SLOTS && !this.queue.isEmpty()) {
			Call next = this.queue.remove();
			next.endsMs = this.nowMs + next.workMs;
			this.running.add(next);
		}
		if (this.nowMs % REPORT_MS == 0) {
			this.reported = this.own.clone();
		}
		if (this.nowMs % 10 == 0) {
			for (int host = 0; host < HOSTS; host++) {
				ServiceAdmission<Call> admission = this.hosts.get(host);
				admission.removeExpired(this.nowMs).forEach((call) -> refuse(call, 100));
				for (Call next = admission.next(room(host), this.nowMs); next != null; next = admission.next(room(host),
						this.nowMs)) {
					send(next);
				}
			}
		}
	}

	private static final class Call {

		private final String team;

		private final int host;

		private final long firstMs;

		private final int workMs;

		private long sentMs;

		private long endsMs;

		private int tries;

		private ServiceRoom room;

		Call(String team, int host, long firstMs, int workMs) {
			this.team = team;
			this.host = host;
			this.firstMs = firstMs;
			this.workMs = workMs;
		}

	}

}
