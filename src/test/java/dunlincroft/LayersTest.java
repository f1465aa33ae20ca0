package dunlincroft;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/** No layer depends on a higher one (docs/design.md). */
class LayersTest {
  /** From the lowest to the highest. */
  private static final List<String> LAYERS =
      List.of(
          "transport",
          "protocol",
          "bookkeeping",
          "membership",
          "admission",
          "coordination",
          "front");

  private static String packageOf(String layer) {
    return "dunlincroft." + layer + "..";
  }

  @Test
  void eachLayerDependsOnlyDownward() {
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("dunlincroft");
    for (int low = 0; low < LAYERS.size(); low++) {
      String[] above =
          LAYERS.subList(low + 1, LAYERS.size()).stream()
              .map(LayersTest::packageOf)
              .toArray(String[]::new);
      if (above.length > 0) {
        noClasses()
            .that()
            .resideInAPackage(packageOf(LAYERS.get(low)))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(above)
            .check(classes);
      }
    }
    noClasses()
        .that()
        .resideInAnyPackage(
            packageOf("conditions"),
            packageOf("documents"),
            packageOf("calendar"),
            packageOf("migration"))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            packageOf("membership"),
            packageOf("admission"),
            packageOf("coordination"),
            packageOf("front"))
        .check(classes);
    noClasses()
        .that()
        .resideInAPackage(packageOf("operators"))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            packageOf("bookkeeping"),
            packageOf("membership"),
            packageOf("coordination"),
            packageOf("front"))
        .check(classes);
  }
}
