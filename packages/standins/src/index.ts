export type * from './common/types.js';
export type * from './common/fault-schemas.js';
