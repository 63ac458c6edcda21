/**
 * A simulated deployment that runs in one process and in virtual time, and its scenario tests.
 *
 * <p>{@link org.meadowhollow.simulation.SimulatedCluster} runs the real controllers of {@code
 * coordination} with the real APIs of {@code protocol} on a {@link
 * org.meadowhollow.simulation.VirtualEventLoop}; the key-value store, the cloud, the workers, the
 * network and the users around them are simulated. Each simulated part owns its state and the
 * faults that can be injected into it. {@link org.meadowhollow.simulation.HistoryChecker} checks
 * what users and workers observe against the protocol's rules after every step; it reads no records
 * and no state of a controller.
 *
 * <p>Scenario tests, whose names end in {@code ScenarioTest}, each cover one concern. {@link
 * org.meadowhollow.simulation.RandomFaultsTest} injects random faults from fixed seeds; equal seeds
 * give equal runs. {@link org.meadowhollow.simulation.LoopbackIntegrationTest} runs controllers
 * over real connections instead.
 *
 * <p>Nothing here is thread-safe: one test runs one cluster on its own thread, and only virtual
 * time passes. The loopback test and the load test have threads, which hand their work to one event
 * loop. This package may depend on every other package; no other package may depend on it, except
 * tests that need the virtual event loop.
 */
package org.meadowhollow.simulation;
