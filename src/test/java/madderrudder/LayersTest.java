package madderrudder;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the layering of the packages. Each package may depend only on the project packages that
 * are listed for it here, so that a new dependency, such as one of a lower layer on a higher one,
 * fails the build.
 */
class LayersTest {
  private static final JavaClasses PRODUCTION_CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("madderrudder");

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      nullValues = "-",
      value = {
        "util|-",
        "transport|-",
        "protocol|-",
        "estimates|util protocol",
        "persistence|transport protocol",
        "metrics|protocol estimates",
        "coordination.policy|protocol",
        "coordination.state|protocol estimates coordination.policy",
        "coordination.reconciliation|protocol coordination.policy coordination.state",
        "coordination.scheduling|protocol estimates coordination.policy coordination.state coordination.reconciliation",
        "coordination.membership|transport protocol persistence coordination.policy",
        "coordination.cloud|transport protocol persistence coordination.state",
        "coordination.registry|transport protocol estimates persistence metrics coordination.policy coordination.state "
            + "coordination.membership coordination.cloud",
        "coordination.scaleout|transport protocol persistence coordination.policy coordination.state "
            + "coordination.reconciliation coordination.scheduling coordination.membership coordination.cloud coordination.registry",
        "coordination.heartbeat|transport protocol estimates metrics coordination.policy coordination.state "
            + "coordination.reconciliation coordination.membership coordination.registry coordination.scaleout",
        "coordination.leader|transport protocol persistence metrics coordination.policy coordination.state "
            + "coordination.reconciliation coordination.scheduling coordination.membership coordination.cloud "
            + "coordination.registry coordination.scaleout coordination.heartbeat",
        "config|transport protocol coordination.policy",
        "service|util transport protocol persistence metrics config coordination.policy coordination.membership "
            + "coordination.cloud coordination.registry coordination.leader",
        "cli|transport protocol estimates persistence metrics config coordination.policy coordination.membership service"
      })
  void packageDependsOnlyOnAllowedPackages(String packageName, String allowedProjectPackages) {
    List<String> allowed =
        new java.util.ArrayList<>(
            List.of(
                "java..",
                "com.fasterxml..",
                "org.slf4j..",
                "org.HdrHistogram..",
                "org.apache.commons.cli..",
                "madderrudder." + packageName));
    if (allowedProjectPackages != null) {
      List.of(allowedProjectPackages.split(" "))
          .forEach(name -> allowed.add("madderrudder." + name));
    }
    classes()
        .that()
        .resideInAPackage("madderrudder." + packageName)
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(allowed.toArray(String[]::new))
        .check(PRODUCTION_CLASSES);
  }

  /**
   * The packages that make decisions receive the cluster state, the time and the policy as data.
   * They do no input or output, log nothing, use no concurrency utilities and read no clock.
   */
  @Test
  void decisionPackagesDoNoInputOutputAndReadNoClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "madderrudder.coordination.scheduling",
            "madderrudder.coordination.state",
            "madderrudder.coordination.policy",
            "madderrudder.coordination.reconciliation",
            "madderrudder.estimates")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "madderrudder.transport",
            "madderrudder.persistence",
            "java.net..",
            "java.nio.channels..",
            "java.util.concurrent..",
            "org.slf4j..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void packagesHaveNoDependencyCycles() {
    slices().matching("madderrudder.(**)").should().beFreeOfCycles().check(PRODUCTION_CLASSES);
  }
}
