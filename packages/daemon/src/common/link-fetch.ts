import {createLinkFetchWith} from '@balsamtray/protocol';
import {request, type Dispatcher} from 'undici';

const okStatus = 200;
const firstRedirectStatus = 300;

/**
 * Creates the `fetch` function for tRPC's links. Gets the dispatcher for each call, because it changes with the
 * certificates. Uses undici's `request`, which needs less CPU time than `fetch`; short responses don't need streams.
 */
export function createLinkFetch(dispatcher: () => Dispatcher) {
	return createLinkFetchWith(async (url, req) => {
		const {body, statusCode} = await request(url, {
			...req,
			dispatcher: dispatcher(),
		});
		return {
			ok: statusCode >= okStatus && statusCode < firstRedirectStatus,
			json: async () => body.json(),
		};
	});
}
