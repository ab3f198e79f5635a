export type * from './common/types.js';
export * from './common/version.js';
