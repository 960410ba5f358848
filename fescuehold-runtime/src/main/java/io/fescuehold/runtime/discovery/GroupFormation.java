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
 * Bootstraps the agreement group when the whole fleet starts for the first time. The
 * first seed, which all hosts know, chooses the members, whether it has a disk or not. It
 * waits until enough hosts with a disk have contacted it and sends them the list of
 * members. A member stores the list on its disk and, while there is no leader, sends it
 * to the other members too, in case the first seed fails before it has reached all of
 * them.
 */
final class GroupFormation {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration FORM_TIMEOUT = Duration.ofSeconds(1);

	private final FleetOptions options;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final VoterPlan voterPlan;

	private final long startedAtMs;

	private List<String> memberIds = List.of();

	private final Set<String> hostsToNotify = new HashSet<>();

	/** The hosts whose reply is pending. */
	private final Set<String> pendingHostIds = new HashSet<>();

	GroupFormation(FleetOptions options, PeerTransport transport, Scheduler scheduler, long startedAtMs) {
		this.options = options;
		this.transport = transport;
		this.scheduler = scheduler;
		this.voterPlan = new VoterPlan(options.losses(), options.timing().absenceMs());
		this.startedAtMs = startedAtMs;
	}

	/**
	 * Chooses the members when enough hosts are known, and sends the list to members that
	 * have not confirmed it.
	 * @param known the known hosts
	 * @param initialHostIds the members with which this host was told to form the group
	 * @param open whether the replica of this host is open
	 * @param leaderKnown whether a leader is known
	 * @param nowMs the current time in milliseconds
	 */
	void tick(List<HostRecord> known, List<String> initialHostIds, boolean open, boolean leaderKnown, long nowMs) {
		if (this.memberIds.isEmpty() && !initialHostIds.isEmpty()) {
			this.memberIds = initialHostIds;
		}
		if (this.memberIds.isEmpty() && this.options.isFirstSeed() && !open && !leaderKnown) {
			choose(known, nowMs);
		}
		if (!leaderKnown) {
			known.stream()
				.filter((host) -> host.hasStore() && !host.isFormed() && this.memberIds.contains(host.hostId()))
				.forEach((host) -> this.hostsToNotify.add(host.hostId()));
		}
		for (String hostId : List.copyOf(this.hostsToNotify)) {
			this.hostsToNotify.remove(hostId);
			if (this.pendingHostIds.add(hostId)) {
				this.transport.request(hostId, new SyncMessage.Form(this.memberIds), FORM_TIMEOUT)
					.publishOn(this.scheduler)
					.doFinally((signal) -> this.pendingHostIds.remove(hostId))
					.subscribe((reply) -> {
					}, (error) -> this.hostsToNotify.add(hostId));
			}
		}
	}

	private void choose(List<HostRecord> known, long nowMs) {
		boolean waitExpired = nowMs - this.startedAtMs >= this.options.timing().formWaitMs();
		List<String> hostIds = List.of();
		if (this.options.firstStart()) {
			List<String> candidates = this.voterPlan.initialVoters(known);
			hostIds = (waitExpired || candidates.size() >= 2 * this.options.losses() + 1) ? candidates : hostIds;
		}
		else if (waitExpired) {
			// A group that was formed before this start would be known by now.
			hostIds = this.voterPlan.initialVotersAfterLostChoice(known);
		}
		if (!hostIds.isEmpty()) {
			logger.atInfo()
				.log("Forming the agreement group with hosts %s out of %d known hosts", hostIds, known.size());
			this.memberIds = hostIds;
			this.hostsToNotify.addAll(hostIds);
		}
	}

}
