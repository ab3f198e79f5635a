export * from './common/backend-record.js';
export type * from './common/fault-schemas.js';
export * from './clients/client-crowd.js';
