import {fetch, type Dispatcher} from 'undici';

/** The part of a request that tRPC's links set. */
type LinkRequest = {
	readonly method?: string | undefined;
	/** Names and values, as tRPC's links write them. */
	readonly headers?: unknown;
	readonly body?: unknown;
	readonly signal?: unknown;
};

/** Creates the `fetch` that tRPC's links take, over a dispatcher of undici. */
export function createLinkFetch(dispatcher: () => Dispatcher) {
	return async (url: unknown, req: LinkRequest = {}) => {
		if (typeof url !== 'string') {
			throw new TypeError('the URL of a call must be a string');
		}

		const {method = 'GET', headers, body, signal} = req;
		return fetch(url, {
			method,
			headers: stringsOf(headers),
			body: typeof body === 'string' ? body : null,
			signal: signal instanceof AbortSignal ? signal : null,
			dispatcher: dispatcher(),
		});
	};
}

function stringsOf(headers: unknown): Record<string, string> {
	const entries = Object.entries(headers ?? {}).filter(
		(entry): entry is [string, string] => typeof entry[1] === 'string',
	);
	return Object.fromEntries(entries);
}
