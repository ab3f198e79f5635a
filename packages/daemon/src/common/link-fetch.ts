import {fetch, type Dispatcher} from 'undici';

/** The parts of a request that tRPC's links set. */
type LinkRequest = {
	readonly method?: string | undefined;
	readonly headers?: unknown;
	readonly body?: unknown;
	readonly signal?: unknown;
};

/** Creates the `fetch` that tRPC's links take, over the dispatcher of the moment. */
export function createLinkFetch(dispatcher: () => Dispatcher) {
	return async (url: unknown, req: LinkRequest = {}) => {
		if (typeof url !== 'string') {
			throw new TypeError('A call needs its URL as a string.');
		}

		const {method = 'GET', body, signal} = req;
		return fetch(url, {
			method,
			headers: headersOf(req.headers),
			body: typeof body === 'string' ? body : null,
			signal: signal instanceof AbortSignal ? signal : null,
			dispatcher: dispatcher(),
		});
	};
}

function headersOf(headers: unknown): Record<string, string> {
	const entries = Object.entries(headers ?? {});
	return Object.fromEntries(
		entries.filter(
			(entry): entry is [string, string] => typeof entry[1] === 'string',
		),
	);
}
