package io.fescuehold.runtime.storage;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

import io.fescuehold.core.agreement.EntryKind;
import io.fescuehold.core.agreement.HardState;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.agreement.ReplicaId;

/**
 * A record of a batch in a segment file. The first byte of a record is its type.
 */
sealed interface LogRecord {

	/** The type of {@link Vote}. */
	int VOTE = 1;

	/** The type of {@link Entry}. */
	int ENTRY = 2;

	/** The type of {@link Reset}. */
	int RESET = 3;

	/**
	 * Writes the record.
	 * @param out the output
	 * @throws IOException if the output fails
	 */
	void write(DataOutputStream out) throws IOException;

	/**
	 * Returns the record as bytes.
	 * @return the bytes
	 */
	default byte[] toBytes() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			write(out);
		}
		catch (IOException ex) {
			throw new IllegalStateException("Writing to memory failed", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Reads a record.
	 * @param in the input
	 * @return the record
	 * @throws IOException if the input has no valid record
	 */
	static LogRecord read(DataInputStream in) throws IOException {
		int type = in.readByte();
		return switch (type) {
			case VOTE -> {
				long term = in.readLong();
				ReplicaId votedFor = in.readBoolean() ? new ReplicaId(in.readUTF(), in.readUTF()) : null;
				yield new Vote(new HardState(term, votedFor));
			}
			case ENTRY -> {
				long index = in.readLong();
				long term = in.readLong();
				EntryKind kind = EntryKind.valueOf(in.readUTF());
				byte[] data = new byte[in.readInt()];
				in.readFully(data);
				yield new Entry(new LogEntry(index, term, kind, data));
			}
			case RESET -> new Reset(in.readLong());
			default -> throw new IOException("Unknown record type " + type);
		};
	}

	/**
	 * The term and vote.
	 *
	 * @param state the term and vote
	 */
	record Vote(HardState state) implements LogRecord {

		@Override
		public void write(DataOutputStream out) throws IOException {
			out.writeByte(VOTE);
			out.writeLong(this.state.term());
			out.writeBoolean(this.state.votedFor() != null);
			if (this.state.votedFor() != null) {
				out.writeUTF(this.state.votedFor().hostId());
				out.writeUTF(this.state.votedFor().storeId());
			}
		}

	}

	/**
	 * A log entry, which replaces all entries from its index onwards.
	 *
	 * @param entry the entry
	 */
	record Entry(LogEntry entry) implements LogRecord {

		@Override
		public void write(DataOutputStream out) throws IOException {
			out.writeByte(ENTRY);
			out.writeLong(this.entry.index());
			out.writeLong(this.entry.term());
			out.writeUTF(this.entry.kind().name());
			out.writeInt(this.entry.data().length);
			out.write(this.entry.data());
		}

	}

	/**
	 * Empties the log.
	 *
	 * @param snapshotIndex the index of the snapshot after which the log continues
	 */
	record Reset(long snapshotIndex) implements LogRecord {

		@Override
		public void write(DataOutputStream out) throws IOException {
			out.writeByte(RESET);
			out.writeLong(this.snapshotIndex);
		}

	}

}
