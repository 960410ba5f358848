package io.fescuehold.it;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.daemon.cli.CommandLine;
import io.fescuehold.daemon.settings.DaemonSettings;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against pages that name a test, script, main class, command, setting or error
 * code that does not exist, and against commands, settings and error codes that the
 * operations page does not list.
 */
class PagesTests {

	private static final Path ROOT = Path.of("..");

	@Test
	void namedTestsExist() throws IOException {
		Set<String> existing;
		try (Stream<Path> files = Files.walk(ROOT)) {
			existing = files.map((file) -> file.getFileName().toString())
				.filter((name) -> name.endsWith("Tests.java"))
				.map((name) -> name.replace(".java", ""))
				.collect(Collectors.toSet());
		}
		assertThat(existing).containsAll(namedInPages("`([A-Za-z]+Tests)[`#]"));
	}

	@Test
	void namedTestMethodsExist() throws IOException {
		for (String method : namedInPages("`([A-Za-z]+Tests#[A-Za-z]+)`")) {
			String[] parts = method.split("#");
			try (Stream<Path> files = Files.walk(ROOT)) {
				Path file = files.filter((path) -> path.endsWith(parts[0] + ".java")).findFirst().orElseThrow();
				assertThat(Files.readString(file)).as(method).contains("void " + parts[1] + "(");
			}
		}
	}

	@Test
	void namedScriptsExist() throws IOException {
		for (String script : namedInPages("\\b(bin/[a-z-]+)")) {
			assertThat(ROOT.resolve(script)).as(script).exists();
		}
	}

	@Test
	void namedMainClassesExist() throws IOException {
		for (String type : namedInPages("\\b(io\\.fescuehold\\.[a-z.]+\\.[A-Z][A-Za-z]+Main)\\b")) {
			try (Stream<Path> files = Files.walk(ROOT)) {
				String suffix = "src/main/java/" + type.replace('.', '/') + ".java";
				assertThat(files.anyMatch((file) -> file.toString().endsWith(suffix))).as(type).isTrue();
			}
		}
	}

	@Test
	void namedCommandsAreTheCommandsThatExist() throws IOException {
		ByteArrayOutputStream help = new ByteArrayOutputStream();
		new CommandLine(System.out, new PrintStream(help, true, StandardCharsets.UTF_8)).run("help");
		Set<String> existing = findAll(help.toString(StandardCharsets.UTF_8), "(?m)^  ([a-z]+) ");
		assertThat(existing).containsAll(namedInPages("`(?:bin/)?fescuehold ([a-z]+)"));
		assertThat(findAll(operationsPage(), "(?m)^\\| `fescuehold ([a-z]+)` ")).isEqualTo(existing);
	}

	@Test
	void settingsTableListsEverySetting() throws IOException {
		Set<String> documented = findAll(operationsPage(), "(?m)^\\| `(/[A-Za-z0-9/]+)` ");
		assertThat(documented).isEqualTo(pointers("", DaemonSettings.class));
	}

	@Test
	void errorTableListsEveryCode() throws IOException {
		Set<String> existing = Arrays.stream(ErrorCode.values()).map(ErrorCode::name).collect(Collectors.toSet());
		assertThat(findAll(operationsPage(), "(?m)^\\| `([A-Z_]+)` ")).isEqualTo(new TreeSet<>(existing));
	}

	private static Set<String> pointers(String parent, Class<?> type) {
		Set<String> pointers = new TreeSet<>();
		for (RecordComponent component : type.getRecordComponents()) {
			Class<?> valueType = valueType(component);
			String pointer = parent + "/" + component.getName();
			if (valueType.isRecord()) {
				pointers.addAll(pointers(pointer, valueType));
			}
			else {
				pointers.add(pointer);
			}
		}
		return pointers;
	}

	private static Class<?> valueType(RecordComponent component) {
		if (component.getType() != List.class) {
			return component.getType();
		}
		Type argument = ((ParameterizedType) component.getGenericType()).getActualTypeArguments()[0];
		return (Class<?>) argument;
	}

	private static String operationsPage() throws IOException {
		return Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
	}

	private static Set<String> namedInPages(String pattern) throws IOException {
		Set<String> found = findAll(Files.readString(ROOT.resolve("README.md")), pattern);
		try (Stream<Path> pages = Files.list(ROOT.resolve("docs"))) {
			for (Path page : pages.filter((file) -> file.toString().endsWith(".md")).toList()) {
				found.addAll(findAll(Files.readString(page), pattern));
			}
		}
		return found;
	}

	private static Set<String> findAll(String text, String pattern) {
		Set<String> found = new TreeSet<>();
		Matcher matcher = Pattern.compile(pattern).matcher(text);
		while (matcher.find()) {
			found.add(matcher.group(1));
		}
		return found;
	}

}
