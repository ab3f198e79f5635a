export type * from './common/types.js';
export * from './common/version.js';
export * from './agent/agent-task.js';
export type {AgentTaskOptions} from './agent/types.js';
export type * from './entry/types.js';
export * from './entry/callers-routes.js';
export * from './entry/entry-task.js';
export * from './entry/error-body.js';
export * from './membership/membership-task.js';
