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
 * One direction of a connection. A reader records the arrival time of each chunk, and a
 * writer delivers it according to the active fault. The bounded queue between them keeps
 * a delay from reducing the throughput.
 */
final class Pipe {

	private static final int CHUNK_BYTES = 16 * 1024;

	private static final int MAX_QUEUED_CHUNKS = 64;

	private static final byte[] END = new byte[0];

	private final BlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(MAX_QUEUED_CHUNKS);

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

	void silencePermanently() {
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
			closeUnlessSilent();
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

	/**
	 * Closes the connection unless this direction is silent, because a silent network
	 * does not signal a lost connection either.
	 */
	private void closeUnlessSilent() {
		if (!isSilent()) {
			this.connection.close();
		}
	}

	private boolean isSilent() {
		this.silent |= this.fault.get() instanceof ProxyFault.Silent activeFault
				&& activeFault.direction().includes(this.direction);
		return this.silent;
	}

	private boolean isHeld() {
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
			closeUnlessSilent();
		}
		catch (InterruptedException ex) {
			this.connection.close();
		}
	}

	/**
	 * Delivers a chunk or drops it.
	 * @param chunk the chunk
	 * @return whether more chunks can follow
	 * @throws IOException if the receiving side has closed the connection
	 */
	private boolean deliver(Chunk chunk) throws IOException {
		awaitDelivery(chunk);
		if (isSilent() || this.connection.closed()) {
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

	private void awaitDelivery(Chunk chunk) {
		while (!this.connection.closed()) {
			long delayMs = (this.fault.get() instanceof ProxyFault.Delay delay) ? delay.delayMs() : 0;
			long remainingNanos = chunk.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(delayMs) - System.nanoTime();
			if (isHeld()) {
				LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
			}
			else if (remainingNanos > 0) {
				LockSupport.parkNanos(remainingNanos);
			}
			else {
				return;
			}
		}
	}

	private void writeThrottled(byte[] bytes, long bytesPerS) throws IOException {
		int sliceBytes = (int) Math.clamp(bytesPerS / 50, 1, CHUNK_BYTES);
		long startNanos = System.nanoTime();
		for (int offset = 0; offset < bytes.length && !this.connection.closed(); offset += sliceBytes) {
			int count = Math.min(sliceBytes, bytes.length - offset);
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
	 * Bytes and their arrival time.
	 *
	 * @param bytes the bytes
	 * @param arrivedNanos the arrival time on the clock of {@link System#nanoTime()}
	 */
	private record Chunk(byte[] bytes, long arrivedNanos) {
	}

}
