/** Availability zones of the fleet. */
export const zones = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Number of engines, distributed evenly over the zones. */
export const engineCount = 12;

/** Number of entries, one in each zone. */
export const entryCount = 3;

/** Number of adapters of all customers together. */
export const adapterCount = 3000;

/** Adapter versions that an engine can hold at once. */
export const adapterSlots = 16;

/** Requests that a warm engine can run at once without slowing down. */
export const maxRunning = 8;

/** Requests that a cold engine can run at once without slowing down. */
export const coldRunning = 2;

/** Duration of one decoding step, in milliseconds: a fixed part and a part per running request. */
export const stepBaseMs = 20;
export const stepPerRequestMs = 1;

/** Prompt tokens that an engine prefills in the time of one decoding step. */
export const promptTokensPerStep = 64;

/** One-way delay between two processes, in milliseconds. */
export const networkDelayMs = 1;

/** Time until a configuration change is in force on all processes, in milliseconds. */
export const configDelayMs = 1000;

/** Interval of an agent's health checks, in milliseconds. */
export const healthIntervalMs = 500;

/** Time that an engine needs to restart after a crash, in milliseconds. */
export const engineRestartMs = 5000;

/** Rate limit of the weight store: loads a second, and the burst that it admits without delay. */
export const loadsPerSecond = 4;
export const loadBurst = 8;

/** Duration of a load while at most `maxUncontendedLoads` are in flight, in milliseconds. More slow each other down. */
export const loadMs = 250;
export const maxUncontendedLoads = 8;

/** Deadline for the start of an answer, in milliseconds after arrival. */
export const deadlineMs = 10_000;

/** Duration of the warm-up and of the measurement that follows it, in milliseconds. */
export const warmUpMs = 60_000;
export const measuredMs = 180_000;

/** Time until the platform's balancer detects that an entry has crashed, in milliseconds. */
export const balancerDetectionMs = 2000;

/** Zipf exponent of the popularity of a customer's adapters. */
export const popularityExponent = 1.7;
