export * from './harness/free-ports.js';
