export {maxTableBytes} from './constants.js';
export type * from './types.js';
export type * from './log-events.js';
export * from './agent-runtime.js';
export * from './duty-task.js';
export * from './entry-runtime.js';
export * from './event-log.js';
export * from './http-client.js';
