package io.fescuehold.runtime.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.streamversion.StreamRecord;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;

/**
 * Keeps the records of streams and the served versions on the disk of a host. They are
 * appended to one of two files; the older one is deleted when the next one is begun, so
 * that outdated records go without being rewritten. Writes that wait for the disk are
 * written together.
 */
public final class StreamRecordStore implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String SUFFIX = ".streams";

	private static final byte RECORD = 1;

	private static final byte SERVED = 2;

	private final Path folder;

	private final Disk disk;

	private final long maxFileBytes;

	private final ExecutorService writer = Executors
		.newSingleThreadExecutor((task) -> Thread.ofPlatform().daemon().name("stream-records").unstarted(task));

	private final Object lock = new Object();

	private List<PendingWrite> pending = new ArrayList<>();

	private FileChannel channel;

	private long number;

	private long position;

	/**
	 * Creates a store without opening it.
	 * @param folder the folder of the files
	 * @param maxFileBytes the maximum size of each file in bytes; records beyond it are
	 * not durable
	 */
	public StreamRecordStore(Path folder, long maxFileBytes) {
		this(folder, maxFileBytes, new Disk());
	}

	StreamRecordStore(Path folder, long maxFileBytes, Disk disk) {
		this.folder = folder;
		this.maxFileBytes = maxFileBytes;
		this.disk = disk;
	}

	/**
	 * Reads the files of the last process and begins a new one.
	 * @return what they contain
	 * @throws IOException if the folder cannot be created or read; one that cannot be
	 * written is tried again with each append
	 */
	public Content open() throws IOException {
		Files.createDirectories(this.folder);
		List<StreamRecord> records = new ArrayList<>();
		Map<String, Set<String>> served = new TreeMap<>();
		List<Long> numbers = fileNumbers();
		for (long found : numbers) {
			read(ByteBuffer.wrap(Files.readAllBytes(file(found))), records, served);
		}
		this.number = numbers.isEmpty() ? 0 : numbers.getLast();
		try {
			beginFile();
		}
		catch (IOException ex) {
			logger.atWarning()
				.log("No file of stream records can be begun in \"%s\" yet; it is tried again with the next records: %s",
						this.folder, ex.getMessage());
		}
		return new Content(records, served, !numbers.isEmpty());
	}

	private List<Long> fileNumbers() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.map((file) -> file.getFileName().toString())
				.filter((name) -> name.matches("[0-9]{1,18}\\" + SUFFIX))
				.map((name) -> Long.valueOf(name.substring(0, name.length() - SUFFIX.length())))
				.sorted()
				.toList();
		}
	}

	private Path file(long fileNumber) {
		return this.folder.resolve(fileNumber + SUFFIX);
	}

	// A batch that was torn by a loss of power has not been confirmed to anyone.
	private static void read(ByteBuffer file, List<StreamRecord> records, Map<String, Set<String>> served)
			throws IOException {
		int at = 0;
		for (int size = Batch.sizeAt(file, at); size > 0; size = Batch.sizeAt(file, at)) {
			byte[] content = new byte[size - Batch.HEADER_BYTES];
			file.get(at + Batch.HEADER_BYTES, content);
			DataInputStream in = new DataInputStream(new ByteArrayInputStream(content));
			while (in.available() > 0) {
				if (in.readByte() == RECORD) {
					records.add(new StreamRecord(in.readUTF(), in.readUTF(), in.readUTF()));
				}
				else {
					served.computeIfAbsent(in.readUTF(), (service) -> new TreeSet<>()).add(in.readUTF());
				}
			}
			at += size;
		}
	}

	// The current file stays in use if no other one can be begun.
	private void beginFile() throws IOException {
		FileChannel begun = FileChannel.open(file(this.number + 1), StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING);
		try {
			this.disk.syncFolder(this.folder);
		}
		catch (IOException ex) {
			begun.close();
			throw ex;
		}
		FileChannel previous = this.channel;
		this.channel = begun;
		this.number++;
		this.position = 0;
		if (previous != null) {
			previous.close();
		}
	}

	/**
	 * Begins a new file and deletes those before the current one, whose records are
	 * outdated.
	 * @param served the versions that are still of interest, by service
	 * @return completes when they are durable in the new file
	 */
	public Mono<Void> rotate(Map<String, Set<String>> served) {
		return Mono.<Void>fromRunnable(() -> {
			try {
				long previous = this.number;
				beginFile();
				for (long found : fileNumbers()) {
					if (found < previous) {
						Files.delete(file(found));
					}
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}).subscribeOn(Schedulers.fromExecutor(this.writer)).then(append(List.of(), served));
	}

	/**
	 * Appends records.
	 * @param records the records
	 * @param served versions by service
	 * @return completes when they are durable; errors if the disk fails or is full
	 */
	public Mono<Void> append(List<StreamRecord> records, Map<String, Set<String>> served) {
		return Mono.create((sink) -> {
			boolean idle;
			synchronized (this.lock) {
				idle = this.pending.isEmpty();
				this.pending.add(new PendingWrite(records, served, sink));
			}
			if (idle) {
				this.writer.execute(this::writePending);
			}
		});
	}

	private void writePending() {
		List<PendingWrite> writes;
		synchronized (this.lock) {
			writes = this.pending;
			this.pending = new ArrayList<>();
		}
		try {
			if (this.channel == null) {
				beginFile();
			}
			ByteBuffer content = ByteBuffer.wrap(encode(writes));
			ByteBuffer header = Batch.header(content);
			int size = header.remaining() + content.remaining();
			if (this.position + size > this.maxFileBytes) {
				throw new IOException("the file " + file(this.number) + " has " + this.position + " bytes, at most "
						+ this.maxFileBytes + " are allowed");
			}
			this.disk.write(this.channel, header, this.position);
			this.disk.write(this.channel, content, this.position + Batch.HEADER_BYTES);
			this.disk.sync(this.channel);
			this.position += size;
			writes.forEach((write) -> write.sink.success());
		}
		catch (IOException ex) {
			logger.atWarning()
				.atMostEvery(5, TimeUnit.SECONDS)
				.log("Stream records are kept in memory only: %s", ex.getMessage());
			writes.forEach((write) -> write.sink.error(ex));
		}
	}

	private static byte[] encode(List<PendingWrite> writes) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		for (PendingWrite write : writes) {
			for (StreamRecord record : write.records) {
				out.writeByte(RECORD);
				out.writeUTF(record.streamId());
				out.writeUTF(record.service());
				out.writeUTF(record.version());
			}
			for (Map.Entry<String, Set<String>> service : write.served.entrySet()) {
				for (String version : service.getValue()) {
					out.writeByte(SERVED);
					out.writeUTF(service.getKey());
					out.writeUTF(version);
				}
			}
		}
		return bytes.toByteArray();
	}

	@Override
	public void close() throws IOException {
		this.writer.shutdown();
		if (this.channel != null) {
			this.channel.close();
		}
	}

	/**
	 * What the files of the last process contain.
	 *
	 * @param records the records, the oldest first
	 * @param served the versions that served, by service
	 * @param existed whether there were files
	 */
	public record Content(List<StreamRecord> records, Map<String, Set<String>> served, boolean existed) {

	}

	private record PendingWrite(List<StreamRecord> records, Map<String, Set<String>> served, MonoSink<Void> sink) {

	}

}
