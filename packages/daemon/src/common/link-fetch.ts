import {createLinkFetchOver} from '@balsamtray/protocol';
import {fetch, type Dispatcher} from 'undici';

/** Creates the `fetch` that tRPC's links take, over the dispatcher of the moment. */
export function createLinkFetch(dispatcher: () => Dispatcher) {
	return createLinkFetchOver(async (url, req) =>
		fetch(url, {...req, dispatcher: dispatcher()}),
	);
}
