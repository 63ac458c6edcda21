/**
 * A whole deployment in one process and in virtual time, and the scenario tests that run on it.
 *
 * <p>{@link org.meadowhollow.simulation.SimulatedCluster} runs the real controllers of {@code
 * coordination} with the real APIs of {@code protocol} on a {@link
 * org.meadowhollow.simulation.VirtualEventLoop}; the key-value store, the cloud, the workers, the
 * network and the users around them are simulated. Each simulated part owns its state and the
 * faults that can be injected into it. {@link org.meadowhollow.simulation.HistoryChecker} checks
 * what users and workers observe against the protocol's rules after every step, from the outside:
 * it reads no records and asks no controller.
 *
 * <p>Scenario tests, whose names end in {@code ScenarioTest}, each cover one concern. {@link
 * org.meadowhollow.simulation.RandomFaultsTest} injects random faults from fixed seeds; equal seeds
 * give equal runs. {@link org.meadowhollow.simulation.LoopbackIntegrationTest} runs controllers
 * over real connections instead.
 *
 * <p>Nothing here is thread-safe: one test runs one cluster on its own thread, and only virtual
 * time passes. The loopback test and the load test have threads, which hand their work to one event
 * loop. This package may use all others; no other package may use it, except tests that need the
 * virtual event loop.
 */
package org.meadowhollow.simulation;
