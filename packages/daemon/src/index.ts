export type * from './common/types.js';
export * from './common/version.js';
export * from './agent/agent-task.js';
export type {AgentTaskOptions} from './agent/types.js';
