export * from './dispatch-wire.js';
export type * from './peer/types.js';
export * from './peer/peer-router.js';
export * from './dispatch-schemas.js';
