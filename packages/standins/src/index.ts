export type * from './common/types.js';
