package io.fescuehold.core.streamversion;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records of streams, each kept for as long as its stream can be continued. Not
 * thread-safe: confined to one thread.
 */
public final class StreamRecords {

	private final int maxRecords;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private long retentionMs;

	/**
	 * Creates an empty collection.
	 * @param maxRecords the maximum number of records; the oldest are removed first
	 * @param retentionMs the time in milliseconds for which a record is kept
	 */
	public StreamRecords(int maxRecords, long retentionMs) {
		this.maxRecords = maxRecords;
		this.retentionMs = retentionMs;
	}

	/**
	 * Sets the retention.
	 * @param retentionMs the time in milliseconds for which a record is kept
	 */
	public void setRetention(long retentionMs) {
		this.retentionMs = retentionMs;
	}

	/**
	 * Adds a record. The first record of a stream is kept, because the version of the
	 * first event is the one that counts; a later one extends its retention.
	 * @param added the record
	 * @param nowMs the time in milliseconds
	 */
	public void put(StreamRecord added, long nowMs) {
		expire(nowMs);
		Entry first = this.entries.remove(added.streamId());
		this.entries.put(added.streamId(), new Entry((first != null) ? first.record : added, nowMs));
		if (this.entries.size() > this.maxRecords) {
			this.entries.remove(this.entries.keySet().iterator().next());
		}
	}

	/**
	 * Finds the record of a stream.
	 * @param streamId the id of the stream
	 * @param nowMs the time in milliseconds
	 * @return the record, or null
	 */
	public StreamRecord find(String streamId, long nowMs) {
		expire(nowMs);
		Entry entry = this.entries.get(streamId);
		return (entry != null) ? entry.record : null;
	}

	/**
	 * Returns the records.
	 * @param nowMs the time in milliseconds
	 * @return the records, the oldest first
	 */
	public List<StreamRecord> all(long nowMs) {
		expire(nowMs);
		List<StreamRecord> records = new ArrayList<>();
		this.entries.values().forEach((entry) -> records.add(entry.record));
		return records;
	}

	/**
	 * Returns the number of records.
	 * @return the number, outdated ones included
	 */
	public int size() {
		return this.entries.size();
	}

	// Entries are in the order of their last use.
	private void expire(long nowMs) {
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext() && nowMs - oldest.next().usedAtMs >= this.retentionMs) {
			oldest.remove();
		}
	}

	private record Entry(StreamRecord record, long usedAtMs) {

	}

}
