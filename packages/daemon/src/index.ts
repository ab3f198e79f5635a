export type * from './common/types.js';
export * from './common/version.js';
export * from './agent/agent-task.js';
export type {AgentTaskOptions} from './agent/types.js';
export * from './rate/rate-task.js';
export * from './rate/trpc-rate-peers.js';
export type * from './rate/types.js';
