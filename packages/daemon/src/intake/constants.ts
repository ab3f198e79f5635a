/** Chunks from this size on are kept as they are, in bytes. The object of one costs some hundred bytes. */
export const minOwnChunkBytes = 4096;

/** Sizes of the blocks that short chunks are copied into, in bytes. A block is as large as the body until then. */
export const blockBytes = {min: 1024, max: 64 * 1024} as const;
