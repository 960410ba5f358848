package io.fescuehold.core.agreement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Forms a group from empty stores. Only the initial host with the lowest id writes the
 * first membership, and only after every initial host has answered that its store is
 * empty; the others adopt it if it lists their identity. The loss of a store while the
 * group forms therefore cannot lead to two different first memberships.
 */
final class Bootstrap {

	private final NodeContext context;

	private final Map<String, AgreementMessage.ProbeReply> emptyHostReplies = new HashMap<>();

	private long probedAtMs = Progress.NEVER_MS;

	Bootstrap(NodeContext context) {
		this.context = context;
	}

	void tick() {
		boolean initialHost = this.context.options.initialHostIds().contains(this.context.self.hostId());
		if (!this.context.log.isEmpty() || !initialHost) {
			return;
		}
		if (this.context.nowMs >= this.probedAtMs + this.context.timing().electionTimeoutMs()) {
			this.probedAtMs = this.context.nowMs;
			this.emptyHostReplies.clear();
			for (String hostId : this.context.options.initialHostIds()) {
				probe(hostId);
			}
			formIfAllEmpty();
		}
	}

	void onProbe(AgreementMessage.Probe probe) {
		boolean durable = this.context.durability.durableIndex() > 0;
		this.context.send(probe.from(),
				new AgreementMessage.ProbeReply(this.context.group(), this.context.self, probe.from(),
						this.context.options.failureDomain(this.context.self.hostId()), this.context.log.isEmpty(),
						durable ? this.context.log.genesis() : null,
						MembershipCodec.encode(this.context.log.membershipAt(this.context.commitIndex))));
	}

	void onReply(AgreementMessage.ProbeReply reply) {
		boolean initialHost = this.context.options.initialHostIds().contains(reply.from().hostId());
		if (!this.context.log.isEmpty() || !initialHost) {
			return;
		}
		if (reply.empty()) {
			this.emptyHostReplies.put(reply.from().hostId(), reply);
			formIfAllEmpty();
			return;
		}
		if (reply.genesis() != null && listsSelf(reply.genesis())) {
			writeGenesis(reply.genesis());
		}
		else if (listsSelf(reply.membership())) {
			// The first membership was compacted before this host received it. The host
			// may vote, and receives a snapshot from the leader.
			this.context.listedByGroup = true;
		}
	}

	private boolean listsSelf(byte[] membership) {
		return MembershipCodec.decode(membership).find(this.context.self) != null;
	}

	private void probe(String hostId) {
		if (!hostId.equals(this.context.self.hostId())) {
			this.context
				.emit(new Output.Send(hostId, new AgreementMessage.Probe(this.context.group(), this.context.self)));
		}
	}

	private void formIfAllEmpty() {
		List<String> hosts = this.context.options.initialHostIds();
		boolean formsGroup = hosts.getFirst().equals(this.context.self.hostId());
		if (!formsGroup || this.emptyHostReplies.size() < hosts.size() - 1) {
			return;
		}
		Membership membership = Membership.EMPTY
			.withMember(new Member(this.context.self, this.context.options.failureDomain(hosts.getFirst()), true));
		for (AgreementMessage.ProbeReply reply : this.emptyHostReplies.values()) {
			membership = membership.withMember(new Member(reply.from(), reply.failureDomain(), true));
		}
		writeGenesis(MembershipCodec.encode(membership));
	}

	private void writeGenesis(byte[] membership) {
		this.context.log.append(new LogEntry(1, 0, EntryKind.MEMBERSHIP, membership));
	}

}
