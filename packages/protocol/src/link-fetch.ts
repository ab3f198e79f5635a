/** A call as tRPC's links make it, in the form that any HTTP client takes. */
export type LinkRequest = {
	readonly method: string;
	readonly headers: Record<string, string>;
	readonly body?: string;
	readonly signal?: AbortSignal;
};

/** What tRPC's links hand to `fetch`. */
type LinkInit = {
	readonly method?: string | undefined;
	readonly headers?: unknown;
	readonly body?: unknown;
	readonly signal?: unknown;
};

/** Creates the `fetch` that tRPC's links take from a function that sends a call. */
export function createLinkFetchOver<T>(
	send: (url: string, req: LinkRequest) => Promise<T>,
): (url: unknown, init?: LinkInit) => Promise<T> {
	return async (url, init = {}) => {
		if (typeof url !== 'string') {
			throw new TypeError('the URL of a call must be a string');
		}

		const {method = 'GET', headers, body, signal} = init;
		return send(url, {
			method,
			headers: stringsOf(headers),
			...(typeof body === 'string' && {body}),
			...(signal instanceof AbortSignal && {signal}),
		});
	};
}

function stringsOf(headers: unknown): Record<string, string> {
	const entries = Object.entries(headers ?? {}).filter(
		(entry): entry is [string, string] => typeof entry[1] === 'string',
	);
	return Object.fromEntries(entries);
}
