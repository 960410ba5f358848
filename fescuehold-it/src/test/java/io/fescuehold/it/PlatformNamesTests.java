package io.fescuehold.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against names of the platform's headers, API paths and fields in sources outside
 * the platform module.
 */
class PlatformNamesTests {

	private static final Pattern PLATFORM_NAMES = Pattern.compile(
			"(?i)attempt-id\"|server-stamp|expect-instance|not-executed|prefix-hash|token-usage|kv-(fetch|from|backup)"
					+ "|/api/(config|resolve|readyz|report)|route[_]kind|path[_]prefix|ttl[_]s\\b|api[_]keys|page[_]token");

	@Test
	void sourcesOutsideThePlatformModuleContainNoPlatformName() throws IOException {
		Path root = Path.of("..").toRealPath();
		try (Stream<Path> files = Files.walk(root)) {
			List<Path> sources = files.filter((file) -> file.toString().endsWith(".java"))
				.filter((file) -> !file.startsWith(root.resolve("platform"))
						&& !file.startsWith(root.resolve("target")))
				.filter((file) -> !file.endsWith("PlatformNamesTests.java"))
				.toList();
			assertThat(sources).hasSizeGreaterThan(300);
			assertThat(sources.stream().filter(PlatformNamesTests::containsPlatformName)).isEmpty();
		}
	}

	private static boolean containsPlatformName(Path file) {
		try {
			return PLATFORM_NAMES.matcher(Files.readString(file)).find();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
