/** Maximum number of streams whose origin an entry keeps. */
export const maxStreamOrigins = 50_000;

/** Maximum length of an identifier of a call whose stream's origin is kept, and of a software version. */
export const maxStreamTextLength = 128;

/** Time for which the origin of a stream may be asked for after the limits of its calls, in milliseconds. */
export const streamSlackMs = 5000;

/** Maximum time for which the origin of a stream is kept, in milliseconds. */
export const maxStreamLifetimeMs = 600_000;

/**
 * Age of the server list beyond which other software versions may serve unnoticed, in milliseconds. Entries read it
 * themselves long before.
 */
export const maxVersionListAgeMs = 5000;
