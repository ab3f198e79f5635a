/** An HTTP request of a tRPC link, in a form that any HTTP client can send. */
export type LinkRequest = {
	readonly method: string;
	readonly headers: Record<string, string>;
	readonly body?: string;
	readonly signal?: AbortSignal;
};

/** Options that tRPC's links pass to `fetch`. */
type LinkInit = {
	readonly method?: string | undefined;
	readonly headers?: unknown;
	readonly body?: unknown;
	readonly signal?: unknown;
};

/** Creates a `fetch` function for tRPC's links that sends calls with `send`. */
export function createLinkFetchWith<T>(
	send: (url: string, req: LinkRequest) => Promise<T>,
): (url: unknown, init?: LinkInit) => Promise<T> {
	return async (url, init = {}) => {
		if (typeof url !== 'string') {
			throw new TypeError('the URL of a call must be a string');
		}

		const {method = 'GET', headers, body, signal} = init;
		return send(url, {
			method,
			headers: stringHeadersOf(headers),
			...(typeof body === 'string' && {body}),
			...(signal instanceof AbortSignal && {signal}),
		});
	};
}

function stringHeadersOf(headers: unknown): Record<string, string> {
	const entries = Object.entries(headers ?? {}).filter(
		(entry): entry is [string, string] => typeof entry[1] === 'string',
	);
	return Object.fromEntries(entries);
}
