/** Allowed names of customers, adapters, versions, routes, services and base models. */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9._\-]{0,99}$/v;

/** Allowed names of weights, which may have several parts separated by slashes. */
export const weightsPattern = /^[A-Za-z0-9][A-Za-z0-9._\-\/]{0,199}$/v;

/** Matches IPv4 addresses and URLs. A document must not contain them. */
export const addressPattern =
	/(?:^|\/)\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}(?:$|\/)|:\/\//v;

/** Matches texts of customers' keys. A document must not contain them. */
export const keyTextPattern = /bt_[0-9a-f]{16}_/v;

/** Maximum number of customers in a document, and likewise of adapters and of routes. */
export const maxEntries = 200_000;

/** Maximum number of versions of one adapter. */
export const maxVersions = 1000;

/** Maximum of a burst or a charge per call, in tokens, and of a rate, in tokens per second. */
export const maxTokenAmount = 1_000_000_000_000;

/** Maximum relative weight of a customer. */
export const maxWeight = 1_000_000;

/** Maximum length of a document's text, in characters. */
export const maxDocumentLength = 64 * 1024 * 1024;
