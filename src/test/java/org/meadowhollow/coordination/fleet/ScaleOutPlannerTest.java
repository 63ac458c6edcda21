package org.meadowhollow.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.meadowhollow.coordination.scheduling.StepBudget;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Guards against a plan that visits each task of a job: a valid gang of 100,000 tasks kept every
 * leader busy for minutes, so that no controller answered and all leases ended. Counts steps.
 */
class ScaleOutPlannerTest {
    private static final List<JobKind> JOB_KINDS = List.of(JobKind.values());
    private static final MonotonicTime NOW = new MonotonicTime(0);
    private static final MachineType SMALL =
            new MachineType(
                    "small", Resources.of(8, 2, 32), 50, 1, 2, 1, 10, List.of("a", "b", "c"));
    private static final MachineType LARGE =
            new MachineType("large", Resources.of(64, 8, 256), 50, 1, 9, 5, 30, List.of("a", "b"));
    private static final Resources WHOLE_MACHINE = LARGE.capacity();
    private static final Resources ONE_CPU = Resources.of(1, 0, 1);
    private static final CapacityPool LARGE_A = new CapacityPool("large", "a", false);
    private static final CapacityPool LARGE_B = new CapacityPool("large", "b", false);

    private final MachineTypeCatalog catalog = new MachineTypeCatalog();
    private final RentalBackoff backoff = new RentalBackoff();
    private final PendingRentals pendingRentals = new PendingRentals();
    private final StepBudget budget = new StepBudget(Autoscaler.MAX_PLANNING_STEPS);
    private int jobCount;

    @BeforeEach
    void offerMachineTypes() {
        catalog.replaceAll(List.of(SMALL, LARGE));
    }

    /** A leader without outage windows, at which tasks start 40 s after a machine is rented. */
    private static LeadershipContext leader() {
        return (LeadershipContext)
                Proxy.newProxyInstance(
                        LeadershipContext.class.getClassLoader(),
                        new Class<?>[] {LeadershipContext.class},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "isInOutageWindow" -> false;
                                    case "startupDelaySeconds" -> 40.0;
                                    default -> throw new AssertionError(method.getName());
                                });
    }

    private JobSpec job(
            JobKind kind, int tasks, Resources perTask, boolean singleZone, boolean spread) {
        return new JobSpec(
                new JobId("req-" + ++jobCount),
                "class",
                "team",
                kind,
                Priority.NORMAL,
                tasks,
                perTask,
                null,
                null,
                singleZone,
                spread,
                false,
                "image",
                1,
                10,
                0,
                0,
                Double.NaN);
    }

    private Autoscaler.CapacityDemand demand(JobKind kind, int tasks, Resources perTask) {
        return demandFor(job(kind, tasks, perTask, false, false));
    }

    private static Autoscaler.CapacityDemand demandFor(JobSpec spec) {
        return new Autoscaler.CapacityDemand(spec, spec.taskCount(), null, 0);
    }

    private ScaleOutPlanner planner(StepBudget stepBudget) {
        return new ScaleOutPlanner(
                leader(),
                catalog,
                new PoolSelector(catalog, leader(), backoff),
                List.of(),
                pendingRentals.expectedRentals(NOW),
                stepBudget,
                NOW);
    }

    private Map<CapacityPool, Integer> plan(List<Autoscaler.CapacityDemand> demands) {
        ScaleOutPlanner planner = planner(budget);
        planner.plan(demands, 0);
        return planner.machinesToRent();
    }

    @Test
    void gangThatCannotBeCompletedCostsFewStepsAndRentsNothing() {
        Map<CapacityPool, Integer> rented =
                plan(List.of(demand(JobKind.GANG, 100_000, WHOLE_MACHINE)));

        assertEquals(Map.of(), rented);
        assertTrue(budget.spent() < 100, budget.spent() + " steps");
    }

    @Test
    void otherJobsAreServedBesideGangsThatCannotBeCompleted() {
        List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            demands.add(demand(JobKind.GANG, 100_000, WHOLE_MACHINE));
        }
        demands.add(demand(JobKind.GANG, 3, WHOLE_MACHINE));

        assertEquals(Map.of(LARGE_A, 2, LARGE_B, 1), plan(demands));
    }

    @ParameterizedTest
    @EnumSource(JobKind.class)
    void manyLargeJobsCostStepsForJobsAndPoolsButNotForTasks(JobKind kind) {
        List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            demands.add(demand(kind, 3_000, WHOLE_MACHINE));
            demands.add(demand(kind, 3_000, ONE_CPU));
            demands.add(demand(kind, 100_000, Resources.of(0, 0, 0)));
        }

        Map<CapacityPool, Integer> rented = plan(demands);

        rented.forEach((pool, count) -> assertTrue(count <= 50, pool + " " + count));
        assertTrue(budget.spent() < 100_000, budget.spent() + " steps");
    }

    @Test
    void gangLargerThanOneRequestIsRentedOverSeveralRounds() {
        List<Autoscaler.CapacityDemand> demands = List.of(demand(JobKind.GANG, 120, WHOLE_MACHINE));

        assertEquals(Map.of(LARGE_A, 50, LARGE_B, 50), plan(demands));

        rent(LARGE, "a", 50);
        rent(LARGE, "b", 50);
        assertEquals(Map.of(LARGE_A, 10, LARGE_B, 10), plan(demands));
    }

    @Test
    void gangWaitsWithoutRentingWhileItsPoolsArePaused() {
        backoff.recordRefusal(LARGE_A, NOW);
        JobSpec spread = job(JobKind.GANG, 4, WHOLE_MACHINE, false, true);

        assertEquals(Map.of(), plan(List.of(demandFor(spread))));
    }

    @Test
    void exhaustedBudgetIsContinuedAtTheNextJob() {
        List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            demands.add(demand(JobKind.ARRAY, 1, WHOLE_MACHINE));
        }

        ScaleOutPlanner first = planner(new StepBudget(1));
        int next = first.plan(demands, 0);
        ScaleOutPlanner second = planner(new StepBudget(1));

        assertEquals(1, next);
        assertEquals(2, second.plan(demands, next));
        assertEquals(1, first.machinesToRent().get(LARGE_A));
        assertEquals(1, second.machinesToRent().get(LARGE_A));
    }

    private void rent(MachineType type, String zone, int count) {
        List<MachineId> ids = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ids.add(new MachineId("vm-" + type.name() + zone + number));
        }
        pendingRentals.recordRented(ids, type, zone, false, NOW, NOW);
    }

    /** Compares plans with those of {@link PerTaskScaleOut}, which visits each task. */
    @Test
    void plansTheSameMachinesAsVisitingEachTask() {
        rent(SMALL, "b", 3);
        rent(LARGE, "a", 1);
        for (long seed = 0; seed < 400; seed++) {
            Random random = new Random(seed);
            List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
            for (int number = random.nextInt(8); number >= 0; number--) {
                demands.add(randomDemand(random));
            }

            assertEquals(
                    new PerTaskScaleOut(
                                    catalog,
                                    new PoolSelector(catalog, leader(), backoff),
                                    pendingRentals.expectedRentals(NOW))
                            .plan(demands),
                    plan(demands),
                    "seed " + seed);
        }
    }

    private Autoscaler.CapacityDemand randomDemand(Random random) {
        Resources perTask =
                Resources.of(1 + random.nextInt(9), random.nextInt(3), 1 + random.nextInt(30));
        JobKind kind = JOB_KINDS.get(random.nextInt(JOB_KINDS.size()));
        boolean singleZone = kind != JobKind.GANG && random.nextInt(3) == 0;
        boolean spread = !singleZone && random.nextInt(3) == 0;
        JobSpec spec = job(kind, 1 + random.nextInt(25), perTask, singleZone, spread);
        return new Autoscaler.CapacityDemand(spec, 1 + random.nextInt(spec.taskCount()), null, 0);
    }
}
