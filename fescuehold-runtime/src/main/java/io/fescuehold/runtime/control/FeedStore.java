package io.fescuehold.runtime.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.config.ConfigException;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;

/**
 * Stores the last accepted configuration of each share in a folder, so that a daemon that
 * cannot reach any other daemon after a restart continues with the same configurations.
 */
public final class FeedStore {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "share-";

	private static final String SUFFIX = ".json";

	private final Path folder;

	/**
	 * Creates a store.
	 * @param folder the folder, which is created if it is missing
	 * @throws UncheckedIOException if the folder cannot be created
	 */
	public FeedStore(Path folder) {
		this.folder = folder;
		try {
			Files.createDirectories(folder);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Folder " + folder + " could not be created; check its parent folder", ex);
		}
	}

	/**
	 * Writes a configuration atomically and syncs it to disk. The previous one stays
	 * intact until the new one is complete.
	 * @param config the configuration
	 * @throws UncheckedIOException if the file cannot be written
	 */
	public void save(ShareConfig config) {
		Path file = this.folder.resolve(PREFIX + config.share() + SUFFIX);
		Path temporary = this.folder.resolve(PREFIX + config.share() + ".tmp");
		try {
			try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE,
					StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
				ByteBuffer buffer = ByteBuffer.wrap(ConfigJson.canonicalBytes(config));
				while (buffer.hasRemaining()) {
					channel.write(buffer);
				}
				channel.force(true);
			}
			Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
			try (FileChannel directory = FileChannel.open(this.folder, StandardOpenOption.READ)) {
				directory.force(true);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("File " + file + " could not be written", ex);
		}
	}

	/**
	 * Reads the stored configurations. A file that cannot be read is skipped, because the
	 * configuration is fetched again from other daemons.
	 * @return the configurations
	 */
	public List<ShareConfig> load() {
		List<ShareConfig> configs = new ArrayList<>();
		try (Stream<Path> files = Files.list(this.folder)) {
			files
				.filter((file) -> file.getFileName().toString().startsWith(PREFIX)
						&& file.getFileName().toString().endsWith(SUFFIX))
				.sorted()
				.forEach((file) -> load(file, configs));
		}
		catch (IOException ex) {
			logger.atWarning().withCause(ex).log("Folder %s could not be listed", this.folder);
		}
		return configs;
	}

	private static void load(Path file, List<ShareConfig> configs) {
		try {
			configs.add(ConfigJson.read(Files.readAllBytes(file)));
		}
		catch (IOException | ConfigException ex) {
			logger.atWarning()
				.withCause(ex)
				.log("File %s could not be read; the configuration is fetched from other daemons", file);
		}
	}

}
