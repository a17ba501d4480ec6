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
 * The layers of the program: which package may use which. What a package may use is written out
 * here; all else of the project it may not.
 */
class LayersTest {
  private static final JavaClasses ALL =
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
  void usesNothingAboveIt(String layer, String below) {
    List<String> allowed =
        new java.util.ArrayList<>(
            List.of(
                "java..",
                "com.fasterxml..",
                "org.slf4j..",
                "org.HdrHistogram..",
                "org.apache.commons.cli..",
                "madderrudder." + layer));
    if (below != null) {
      List.of(below.split(" ")).forEach(name -> allowed.add("madderrudder." + name));
    }
    classes()
        .that()
        .resideInAPackage("madderrudder." + layer)
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(allowed.toArray(String[]::new))
        .check(ALL);
  }

  /**
   * Decisions get the cluster state, the clock and the policy as data: nothing in them reaches the
   * outside, or asks what time it is.
   */
  @Test
  void decisionsArePure() {
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
        .check(ALL);
  }

  @Test
  void packagesAreFreeOfCycles() {
    slices().matching("madderrudder.(**)").should().beFreeOfCycles().check(ALL);
  }
}
