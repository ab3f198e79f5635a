export * from './harness/free-ports.js';
export * from './harness/fleet.js';
export * from './harness/fleet-options.js';
export * from './harness/caller.js';
export * from './harness/call-result.js';
export * from './harness/check-completion.js';
export * from './harness/wait-until.js';
