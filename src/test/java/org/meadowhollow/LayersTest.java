package org.meadowhollow;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the direction of dependencies between packages. The package names are listed only here: if
 * a package is renamed or added, update {@link #LAYERS} or {@link #COORDINATION_PACKAGES}.
 */
class LayersTest {
    private static final String ROOT = "org.meadowhollow";
    private static final String COORDINATION = "coordination";

    /** The layers from top to bottom. A layer may use itself and those after it. */
    private static final List<String> LAYERS =
            List.of("cli", "transport", "protocol", COORDINATION, "storage", "model");

    /**
     * The packages inside coordination. Each may use itself and those before it. Classes directly
     * in coordination may use all of these packages and are used by none of them.
     */
    private static final List<String> COORDINATION_PACKAGES =
            List.of(
                    "api",
                    "admission",
                    "reservation",
                    "scheduling",
                    "heartbeat",
                    "metrics",
                    "leadership",
                    "failover",
                    "fleet",
                    "lifecycle",
                    "recovery",
                    "reconciliation",
                    "rounds");

    private static final Path SOURCES = Path.of("src/main/java", ROOT.split("\\."));
    private static final Pattern IMPORT =
            Pattern.compile(
                    "import (?:static )?" + Pattern.quote(ROOT) + "\\.([\\w.]+)(?:\\.\\*)?;.*");

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages(ROOT);

    /** Returns the pattern of a package below the root and of all its subpackages. */
    private static String packagePattern(String name) {
        return ROOT + "." + name + "..";
    }

    private static String[] packagePatterns(List<String> names, String prefix) {
        return names.stream().map(name -> packagePattern(prefix + name)).toArray(String[]::new);
    }

    private static List<String> layersFrom(String layer) {
        return LAYERS.subList(LAYERS.indexOf(layer), LAYERS.size());
    }

    private static List<String> coordinationPackagesUpTo(String name) {
        return COORDINATION_PACKAGES.subList(0, COORDINATION_PACKAGES.indexOf(name) + 1);
    }

    /**
     * Counts the dependencies of classes in the first packages on classes in the second, to show
     * that a rule had any to check.
     */
    private static long countDependencies(String from, String to) {
        return CLASSES.that(resideInAPackage(from)).stream()
                .flatMap(origin -> origin.getDirectDependenciesFromSelf().stream())
                .filter(dependency -> resideInAPackage(to).test(dependency.getTargetClass()))
                .count();
    }

    private interface ImportCallback {
        void onImport(Path file, String imported);
    }

    private static void forEachImport(Path from, ImportCallback callback) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path file :
                    (Iterable<Path>)
                            files.filter(one -> one.toString().endsWith(".java"))::iterator) {
                for (String line : Files.readAllLines(file)) {
                    Matcher found = IMPORT.matcher(line);
                    if (found.matches()) {
                        callback.onImport(file, found.group(1));
                    }
                }
            }
        }
    }

    @Test
    void everyLayerDependsOnlyOnItselfAndTheLayersBelow() {
        for (String layer : LAYERS) {
            classes()
                    .that()
                    .resideInAPackage(packagePattern(layer))
                    .should()
                    .onlyDependOnClassesThat(
                            not(resideInAPackage(ROOT + ".."))
                                    .or(resideInAnyPackage(packagePatterns(layersFrom(layer), ""))))
                    .because("a layer depends only on itself and the layers below: " + LAYERS)
                    .check(CLASSES);
        }
        long checked =
                LAYERS.stream()
                        .mapToLong(layer -> countDependencies(packagePattern(layer), ROOT + ".."))
                        .sum();
        assertTrue(checked > 100, () -> "only " + checked + " dependencies were checked");
    }

    @Test
    void everyPackageOfCoordinationDependsOnlyOnItselfAndThoseBeforeIt() {
        for (String name : COORDINATION_PACKAGES) {
            classes()
                    .that()
                    .resideInAPackage(packagePattern(COORDINATION + "." + name))
                    .should()
                    .onlyDependOnClassesThat(
                            not(resideInAPackage(packagePattern(COORDINATION)))
                                    .or(
                                            resideInAnyPackage(
                                                    packagePatterns(
                                                            coordinationPackagesUpTo(name),
                                                            COORDINATION + "."))))
                    .because(
                            "the packages of coordination are in this order: "
                                    + COORDINATION_PACKAGES)
                    .check(CLASSES);
        }
        long checked =
                COORDINATION_PACKAGES.stream()
                        .mapToLong(
                                name ->
                                        countDependencies(
                                                packagePattern(COORDINATION + "." + name),
                                                packagePattern(COORDINATION)))
                        .sum();
        assertTrue(checked > 20, () -> "only " + checked + " dependencies were checked");
    }

    @Test
    void everyClassIsInACheckedPackage() {
        classes().should().resideInAnyPackage(packagePatterns(LAYERS, "")).check(CLASSES);
        String[] ofCoordination = packagePatterns(COORDINATION_PACKAGES, COORDINATION + ".");
        classes()
                .that()
                .resideInAPackage(packagePattern(COORDINATION))
                .and()
                .resideOutsideOfPackage(ROOT + "." + COORDINATION)
                .should()
                .resideInAnyPackage(ofCoordination)
                .check(CLASSES);
    }

    /**
     * Checks the imports in the sources, because compiled classes do not show an import that only a
     * constant or a comment uses.
     */
    @Test
    void importsInSourcesFollowTheOrderOfLayers() throws IOException {
        List<String> violations = new ArrayList<>();
        int[] importCount = {0};
        for (String layer : LAYERS) {
            forEachImport(
                    SOURCES.resolve(layer),
                    (file, imported) -> {
                        importCount[0]++;
                        if (!layersFrom(layer).contains(imported.split("\\.", -1)[0])) {
                            violations.add(file + ": " + imported);
                        }
                    });
        }
        assertEquals(List.of(), violations);
        assertTrue(importCount[0] > 100);
    }

    /** Checks the imports in the sources of the packages inside coordination. */
    @Test
    void importsInSourcesFollowTheOrderInsideCoordination() throws IOException {
        List<String> violations = new ArrayList<>();
        int[] importCount = {0};
        for (String name : COORDINATION_PACKAGES) {
            forEachImport(
                    SOURCES.resolve(COORDINATION).resolve(name),
                    (file, imported) -> {
                        String[] path = imported.split("\\.", -1);
                        if (path[0].equals(COORDINATION)) {
                            importCount[0]++;
                            if (!coordinationPackagesUpTo(name).contains(path[1])) {
                                violations.add(file + ": " + imported);
                            }
                        }
                    });
        }
        assertEquals(List.of(), violations);
        assertTrue(importCount[0] > 20);
    }
}
