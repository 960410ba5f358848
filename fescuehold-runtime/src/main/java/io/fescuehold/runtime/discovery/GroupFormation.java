package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.VoterPlan;
import io.fescuehold.core.port.PeerTransport;
import reactor.core.scheduler.Scheduler;

/**
 * Forms the agreement group when the whole fleet starts for the first time. One host
 * decides, whether it has a disk or not: the first seed, which all hosts know. It waits
 * until enough hosts with a disk have reported to it and tells them once which of them
 * form the group; a host that has been told keeps that on its disk.
 */
final class GroupFormation {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration FORM_TIMEOUT = Duration.ofSeconds(1);

	private final FleetOptions options;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final VoterPlan plan;

	private final long startedMs;

	private List<String> chosen = List.of();

	private final Set<String> untold = new HashSet<>();

	GroupFormation(FleetOptions options, PeerTransport transport, Scheduler scheduler, long startedMs) {
		this.options = options;
		this.transport = transport;
		this.scheduler = scheduler;
		this.plan = new VoterPlan(options.losses(), options.timing().absenceMs());
		this.startedMs = startedMs;
	}

	private boolean decides() {
		return this.options.firstStart() && !this.options.seeds().isEmpty()
				&& this.options.seeds().getFirst().equals(this.options.hostId());
	}

	/**
	 * Chooses the hosts when enough are known, and tells those that were not told yet.
	 * @param known the hosts that are known
	 * @param formed whether this host already belongs to a group
	 * @param nowMs the time in milliseconds
	 */
	void tick(List<HostRecord> known, boolean formed, long nowMs) {
		if (this.chosen.isEmpty() && decides() && !formed) {
			choose(known, nowMs);
		}
		for (String hostId : List.copyOf(this.untold)) {
			this.untold.remove(hostId);
			this.transport.request(hostId, new SyncMessage.Form(this.chosen), FORM_TIMEOUT).subscribe((reply) -> {
			}, (error) -> this.scheduler.schedule(() -> this.untold.add(hostId)));
		}
	}

	private void choose(List<HostRecord> known, long nowMs) {
		List<String> hostIds = this.plan.initialVoters(known);
		boolean complete = hostIds.size() >= 2 * this.options.losses() + 1;
		boolean waitedLong = nowMs - this.startedMs >= this.options.timing().formWaitMs();
		if (complete || (waitedLong && !hostIds.isEmpty())) {
			logger.atInfo().log("Forming the group with hosts %s of %d known", hostIds, known.size());
			this.chosen = hostIds;
			this.untold.addAll(hostIds);
		}
	}

}
