package io.fescuehold.it;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;

/**
 * Guards against module dependencies in the wrong direction and against I/O, threads or
 * clocks in the decision logic of the core module.
 */
@AnalyzeClasses(packages = "io.fescuehold", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTests {

	@ArchTest
	void moduleDependenciesPointOneWay(JavaClasses classes) {
		ArchRule rule = Architectures.layeredArchitecture()
			.consideringOnlyDependenciesInLayers()
			.optionalLayer("config")
			.definedBy("io.fescuehold.config..")
			.optionalLayer("core")
			.definedBy("io.fescuehold.core..")
			.optionalLayer("runtime")
			.definedBy("io.fescuehold.runtime..")
			.optionalLayer("client")
			.definedBy("io.fescuehold.client..")
			.optionalLayer("standin")
			.definedBy("io.fescuehold.standin..")
			.optionalLayer("daemon")
			.definedBy("io.fescuehold.daemon..")
			.optionalLayer("bench")
			.definedBy("io.fescuehold.bench..")
			.optionalLayer("platform")
			.definedBy("io.fescuehold.platform..")
			.whereLayer("platform")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("daemon")
			.mayOnlyBeAccessedByLayers("bench", "platform")
			.whereLayer("runtime")
			.mayOnlyBeAccessedByLayers("daemon", "bench", "platform")
			.whereLayer("core")
			.mayOnlyBeAccessedByLayers("runtime", "daemon", "bench", "platform")
			.whereLayer("config")
			.mayOnlyBeAccessedByLayers("core", "runtime", "daemon", "bench")
			.whereLayer("client")
			.mayOnlyBeAccessedByLayers("daemon", "bench")
			.whereLayer("standin")
			.mayOnlyBeAccessedByLayers("bench");
		rule.check(classes);
	}

	@ArchTest
	void decisionLogicIsPure(JavaClasses classes) {
		ArchRule rule = ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("io.fescuehold.core..")
			.and()
			.resideOutsideOfPackage("io.fescuehold.core.port..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("reactor..", "io.netty..", "java.net..", "java.nio.channels..", "java.nio.file..",
					"java.util.concurrent..")
			.because("the decision logic depends only on its events and on an injected clock and seed");
		rule.check(classes);
	}

	@ArchTest
	void decisionLogicUsesNoSystemClockOrRandomness(JavaClasses classes) {
		ArchRule rule = ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("io.fescuehold.core..")
			.should()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(Math.class, "random")
			.because("time and randomness are injected");
		rule.check(classes);
	}

}
