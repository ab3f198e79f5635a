/** Chunks from this size on are kept as they are, in bytes. The object of one costs some hundred bytes. */
export const minOwnChunkBytes = 16 * 1024;

/** Sizes of the blocks that short chunks are copied into, in bytes. A block is as large as the body until then. */
export const blockBytes = {min: 1024, max: 64 * 1024} as const;

/** Most bytes of a connection that are read in one turn of the event loop. */
export const readBytes = 16 * 1024;

/** Part of what a connection receives that is given to the parser at once, in bytes. Most requests fit in one. */
export const partBytes = 4096;

/** Received bytes of a connection that wait for the parser, from which on no more are read. */
export const maxHeldBytes = 64 * 1024;

/** Requests and chunks of bodies of one connection that are handled in one turn of the event loop. */
export const maxEventsPerTurn = 256;

/** `retry-after` of a connection that is closed for another one, in milliseconds. */
export const connectionRetryAfterMs = 1000;
