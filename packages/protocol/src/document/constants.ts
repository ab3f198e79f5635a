/** Names of customers, adapters, versions, routes, services and base models. */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9._\-]{0,99}$/v;

/** Names of weights, which may have several parts. */
export const weightsPattern = /^[A-Za-z0-9][A-Za-z0-9._\-\/]{0,199}$/v;

/** A text that reads like an IP number, a URL or a key has no place in a document. */
export const addressPattern =
	/(?:^|\/)\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}(?:$|\/)|:\/\//v;
export const keyTextPattern = /bt_[0-9a-f]{16}_/v;

/** Most customers, adapters or routes of a document each. */
export const mostEntries = 200_000;

/** Most versions of one adapter. */
export const mostVersions = 1000;

/** Largest rate, burst or charge, in tokens. */
export const mostTokens = 1_000_000_000_000;

/** Largest relative weight of a customer. */
export const mostWeight = 1_000_000;

/** Longest document text, in characters. */
export const longestDocumentCharacters = 64 * 1024 * 1024;
