package org.hibiscususher.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Checks the architecture of the core: decisions without input or output, immutable data, and
 * systems without state.
 */
class ShapeTest {
    private static final String CORE = "org.hibiscususher.core..";
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.hibiscususher.core");

    @Nested
    class Dependencies {
        @Test
        void areOnlyAgronaAndTheJdk() {
            classes()
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(CORE, "java..", "org.agrona..")
                    .check(CLASSES);
        }

        @Test
        void includeNoThreadsSocketsOrFiles() {
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.net..",
                            "java.nio.channels..",
                            "java.nio.file..",
                            "java.util.concurrent..",
                            "org.agrona.concurrent..")
                    .orShould()
                    .dependOnClassesThat()
                    .belongToAnyOf(Thread.class, java.util.Random.class, java.util.Timer.class)
                    .check(CLASSES);
        }

        @Test
        void includeNoClocks() {
            noClasses()
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.time..")
                    .check(CLASSES);
        }
    }

    @Nested
    class Data {
        @Test
        void isImmutable() {
            fields().that()
                    .areDeclaredInClassesThat()
                    .areRecords()
                    .or()
                    .areDeclaredInClassesThat()
                    .areEnums()
                    .should()
                    .beFinal()
                    .check(CLASSES);
        }

        @Test
        void keepsRowsInRecords() {
            classes().that().haveSimpleNameEndingWith("Row").should().beRecords().check(CLASSES);
        }
    }

    @Nested
    class Systems {
        @Test
        void haveNoMutableState() {
            fields().that()
                    .areDeclaredInClassesThat()
                    .haveSimpleNameEndingWith("System")
                    .should()
                    .beStatic()
                    .andShould()
                    .beFinal()
                    .allowEmptyShould(true)
                    .check(CLASSES);
        }
    }
}
