package io.fescuehold.core.state;

import java.util.List;

import io.fescuehold.config.Claim;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.Release;
import io.fescuehold.config.ShareConfig;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two routers that send orders to the same model server concurrently.
 */
class OrderLeasesTests {

	private final TestShare share = new TestShare("north");

	@Test
	void serverThatChecksFencingGetsANewHolderImmediately() {
		this.share.submit(TestShare.withServer("north", 1, true), 0);
		long first = granted(acquire("r1", true, 100)).fencingNumber();
		assertThat(granted(acquire("r2", true, 100)).fencingNumber()).isGreaterThan(first);
	}

	@Test
	void leaseOnServerThatIgnoresFencingIsHeldUntilExpiryPlusDriftMargin() {
		this.share.submit(TestShare.withServer("north", 1, false), 0);
		assertThat(granted(acquire("r1", false, 100)).expiresAtMs()).isEqualTo(1_100);
		assertThat(acquire("r2", false, 1_100)).isEqualTo(new StateOutcome.LeaseHeld("r1", 100));
		this.share.restart();
		assertThat(acquire("r2", false, 1_199)).isEqualTo(new StateOutcome.LeaseHeld("r1", 1));
		granted(acquire("r2", false, 1_200));
	}

	@Test
	void configurationDecidesWhetherTheServerChecksFencing() {
		this.share.submit(TestShare.withServer("north", 1, false), 0);
		granted(acquire("r1", true, 100));
		assertThat(acquire("r2", true, 200)).isInstanceOf(StateOutcome.LeaseHeld.class);
	}

	@Test
	void holderExtendsItsLeaseWithAHigherFencingNumber() {
		this.share.submit(TestShare.withServer("north", 1, false), 0);
		StateOutcome.LeaseGranted first = granted(acquire("r1", false, 100));
		StateOutcome.LeaseGranted second = granted(acquire("r1", false, 600));
		assertThat(second.expiresAtMs()).isEqualTo(1_600);
		assertThat(second.fencingNumber()).isGreaterThan(first.fencingNumber());
		assertThat(acquire("r2", false, 1_100)).isEqualTo(new StateOutcome.LeaseHeld("r1", 600));
	}

	@Test
	void receivingShareWaitsForLeasesOfTheReleasingShare() {
		ShareConfig listing = TestShare.withServer("south", 1, false);
		Release release = new Release(ItemKind.MODEL_SERVER, "server-1", "north");
		this.share.observe(
				new ShareConfig("south", 2, null, null, null, listing.modelServers(), null, List.of(release), null));
		Claim claim = new Claim(ItemKind.MODEL_SERVER, "server-1", "south", 2);
		this.share.submit(
				new ShareConfig("north", 1, null, null, null, listing.modelServers(), null, null, List.of(claim)),
				1_000);
		long waitMs = OrderLeases.MAX_LEASE_MS + OrderLeases.MAX_LEASE_MS / 10;
		assertThat(acquire("r1", false, 1_000)).isEqualTo(new StateOutcome.LeaseHeld("", waitMs));
		granted(acquire("r1", false, 1_000 + waitMs));
	}

	@Test
	void serverOfAnotherShareIsRefused() {
		assertThat(acquire("r1", true, 0)).isInstanceOfSatisfying(StateOutcome.SubmissionRefused.class,
				(refused) -> assertThat(refused.errorCode()).isEqualTo("NOT_OWNER"));
	}

	private CommandOutcome acquire(String holder, boolean checksFencing, long nowMs) {
		return this.share.apply(new StateCommand.AcquireOrderLease("server-1", holder, checksFencing, 1_000, nowMs));
	}

	private static StateOutcome.LeaseGranted granted(CommandOutcome outcome) {
		assertThat(outcome).isInstanceOf(StateOutcome.LeaseGranted.class);
		return (StateOutcome.LeaseGranted) outcome;
	}

}
