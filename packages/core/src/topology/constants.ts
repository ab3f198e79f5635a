/** Maximum number of children of an entry in the tree of its zone. */
export const maxZoneChildren = 16;

/** Links of each entry to entries outside its place in the tree, so that it hears of changes if its parent does not. */
export const extraLinks = 2;

/** Entries that keep a customer's levels in a large fleet: the owner and those that take over from it, in order. */
export const ownerCandidates = 3;

/** Entries in the order for a stream that may keep its origin, including the one that began it. */
export const streamCandidates = 6;

/** Number of entries up to which all of them keep all customers' levels. */
export const maxMutualEntries = 8;

/** Age of the newest proof at which an entry reads the operator's statements itself at the latest, in milliseconds. */
export const maxRelayedProofAgeMs = 3000;

/** Age of the server list at which an entry reads it itself, in milliseconds. A leaving server must be noticed within 2 s. */
export const maxRelayedServersAgeMs = 1200;

/** Age of the members table at which an entry reads it itself, in milliseconds. */
export const maxRelayedMembersAgeMs = 30_000;

/** Range over which entries of a zone spread their own reads when they miss the relayed ones, in milliseconds. */
export const readSpreadMs = 200;

/** Longest time for which entries that are no longer known are counted, in milliseconds. Longer than any window of a limit. */
export const maxCensusMs = 60_000;
