package io.fescuehold.standin.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * One direction of a connection. A reader stamps each chunk with its arrival, and a
 * writer delivers it according to the fault in force; the bounded queue between them lets
 * a delay keep the throughput.
 */
final class Pipe {

	private static final int CHUNK_BYTES = 16 * 1024;

	private static final int QUEUED_CHUNKS = 64;

	private static final byte[] END = new byte[0];

	private final BlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(QUEUED_CHUNKS);

	private final Direction direction;

	private final Socket from;

	private final Socket to;

	private final Supplier<ProxyFault> fault;

	private final ProxyConnection connection;

	private volatile boolean silent;

	private volatile Thread writer;

	private long passedBytes;

	Pipe(Direction direction, Socket from, Socket to, Supplier<ProxyFault> fault, ProxyConnection connection) {
		this.direction = direction;
		this.from = from;
		this.to = to;
		this.fault = fault;
		this.connection = connection;
	}

	void start() {
		Thread.ofVirtual().name("proxy-read").start(this::read);
		this.writer = Thread.ofVirtual().name("proxy-write").start(this::write);
	}

	void silenceForGood() {
		this.silent = true;
	}

	void faultChanged() {
		LockSupport.unpark(this.writer);
	}

	private void read() {
		byte[] buffer = new byte[CHUNK_BYTES];
		try {
			int count = this.from.getInputStream().read(buffer);
			while (count >= 0) {
				enqueue(Arrays.copyOf(buffer, count));
				count = this.from.getInputStream().read(buffer);
			}
			enqueue(END);
		}
		catch (IOException ex) {
			endUnlessSilent();
		}
	}

	private void enqueue(byte[] bytes) throws IOException {
		try {
			while (!this.queue.offer(new Chunk(bytes, System.nanoTime()), 1, TimeUnit.SECONDS)) {
				if (this.connection.closed()) {
					throw new IOException("The connection is closed");
				}
			}
		}
		catch (InterruptedException ex) {
			throw new IOException("The reader was interrupted", ex);
		}
	}

	/** A silent network does not carry the news of a lost connection either. */
	private void endUnlessSilent() {
		if (!silentNow()) {
			this.connection.close();
		}
	}

	private boolean silentNow() {
		this.silent |= this.fault.get() instanceof ProxyFault.Silent quiet
				&& quiet.direction().includes(this.direction);
		return this.silent;
	}

	private boolean heldNow() {
		return this.fault.get() instanceof ProxyFault.Hold hold && hold.direction().includes(this.direction);
	}

	private void write() {
		try {
			while (!this.connection.closed()) {
				Chunk chunk = this.queue.poll(1, TimeUnit.SECONDS);
				if (chunk != null && !deliver(chunk)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			endUnlessSilent();
		}
		catch (InterruptedException ex) {
			this.connection.close();
		}
	}

	/**
	 * Delivers a chunk or drops it.
	 * @param chunk the chunk
	 * @return whether more can follow
	 * @throws IOException if the receiving side is gone
	 */
	private boolean deliver(Chunk chunk) throws IOException {
		awaitDue(chunk);
		if (silentNow() || this.connection.closed()) {
			return true;
		}
		if (chunk.bytes() == END) {
			this.to.shutdownOutput();
			this.connection.pipeEnded();
			return false;
		}
		if (this.fault.get() instanceof ProxyFault.Throttle throttle) {
			writeThrottled(chunk.bytes(), throttle.bytesPerS());
		}
		else {
			writeUpToCut(chunk.bytes());
		}
		return true;
	}

	private void awaitDue(Chunk chunk) {
		while (!this.connection.closed()) {
			long delayMs = (this.fault.get() instanceof ProxyFault.Delay delay) ? delay.delayMs() : 0;
			long leftNanos = chunk.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(delayMs) - System.nanoTime();
			if (heldNow()) {
				LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
			}
			else if (leftNanos > 0) {
				LockSupport.parkNanos(leftNanos);
			}
			else {
				return;
			}
		}
	}

	private void writeThrottled(byte[] bytes, long bytesPerS) throws IOException {
		int step = (int) Math.clamp(bytesPerS / 50, 1, CHUNK_BYTES);
		long startNanos = System.nanoTime();
		for (int offset = 0; offset < bytes.length && !this.connection.closed(); offset += step) {
			int count = Math.min(step, bytes.length - offset);
			long dueNanos = startNanos + TimeUnit.SECONDS.toNanos(offset + count) / bytesPerS;
			while (dueNanos > System.nanoTime() && !this.connection.closed()) {
				LockSupport.parkNanos(dueNanos - System.nanoTime());
			}
			send(bytes, offset, count);
		}
	}

	private void writeUpToCut(byte[] bytes) throws IOException {
		int count = bytes.length;
		boolean cut = false;
		if (this.fault.get() instanceof ProxyFault.CutAfter limit && limit.direction().includes(this.direction)) {
			cut = this.passedBytes + count >= limit.bytes();
			count = (int) Math.clamp(limit.bytes() - this.passedBytes, 0, count);
		}
		send(bytes, 0, count);
		if (cut) {
			this.to.shutdownOutput();
			this.connection.close();
		}
	}

	private void send(byte[] bytes, int offset, int count) throws IOException {
		this.to.getOutputStream().write(bytes, offset, count);
		this.passedBytes += count;
	}

	/**
	 * Bytes and the time of their arrival.
	 *
	 * @param bytes the bytes
	 * @param arrivedNanos the arrival on the clock of {@link System#nanoTime()}
	 */
	private record Chunk(byte[] bytes, long arrivedNanos) {
	}

}
