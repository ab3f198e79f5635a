export * from './exit-codes.js';
export * from './main.js';
export * from './operator-client.js';
export * from './document-file.js';
