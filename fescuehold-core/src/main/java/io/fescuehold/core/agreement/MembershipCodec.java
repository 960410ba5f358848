package io.fescuehold.core.agreement;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes and reads memberships as bytes for log entries and snapshots. The first byte is
 * the format version.
 */
public final class MembershipCodec {

	private static final int VERSION = 1;

	private MembershipCodec() {
	}

	/**
	 * Writes a membership.
	 * @param membership the membership
	 * @return the bytes
	 */
	public static byte[] encode(Membership membership) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(VERSION);
			out.writeInt(membership.members().size());
			for (Member member : membership.members()) {
				writeId(out, member.id());
				out.writeUTF(member.failureDomain());
				out.writeBoolean(member.voter());
			}
			out.writeBoolean(membership.pending() != null);
			if (membership.pending() != null) {
				writeChange(out, membership.pending());
			}
			out.writeInt(membership.done().size());
			for (ChangeRecord change : membership.done()) {
				writeChange(out, change);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Reads a membership.
	 * @param bytes the bytes written by {@link #encode(Membership)}
	 * @return the membership
	 */
	public static Membership decode(byte[] bytes) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
			int version = in.readByte();
			if (version != VERSION) {
				throw new IllegalArgumentException("Membership has format version " + version
						+ " but this program reads version " + VERSION + "; run the version that wrote it");
			}
			List<Member> members = new ArrayList<>();
			int size = in.readInt();
			for (int i = 0; i < size; i++) {
				members.add(new Member(readId(in), in.readUTF(), in.readBoolean()));
			}
			ChangeRecord pending = in.readBoolean() ? readChange(in) : null;
			List<ChangeRecord> done = new ArrayList<>();
			size = in.readInt();
			for (int i = 0; i < size; i++) {
				done.add(readChange(in));
			}
			return new Membership(members, pending, done);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void writeChange(DataOutputStream out, ChangeRecord change) throws IOException {
		out.writeUTF(change.change().requestId());
		writeNullable(out, change.change().addHostId());
		writeNullable(out, change.change().removeHostId());
		writeNullableId(out, change.addId());
		writeNullableId(out, change.removeId());
	}

	private static ChangeRecord readChange(DataInputStream in) throws IOException {
		MembershipChange change = new MembershipChange(in.readUTF(), readNullable(in), readNullable(in));
		return new ChangeRecord(change, readNullableId(in), readNullableId(in));
	}

	private static void writeId(DataOutputStream out, ReplicaId id) throws IOException {
		out.writeUTF(id.hostId());
		out.writeUTF(id.storeId());
	}

	private static ReplicaId readId(DataInputStream in) throws IOException {
		return new ReplicaId(in.readUTF(), in.readUTF());
	}

	private static void writeNullableId(DataOutputStream out, ReplicaId id) throws IOException {
		out.writeBoolean(id != null);
		if (id != null) {
			writeId(out, id);
		}
	}

	private static ReplicaId readNullableId(DataInputStream in) throws IOException {
		return in.readBoolean() ? readId(in) : null;
	}

	private static void writeNullable(DataOutputStream out, String value) throws IOException {
		out.writeBoolean(value != null);
		if (value != null) {
			out.writeUTF(value);
		}
	}

	private static String readNullable(DataInputStream in) throws IOException {
		return in.readBoolean() ? in.readUTF() : null;
	}

}
