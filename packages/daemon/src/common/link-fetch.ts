import {createLinkFetchOver} from '@balsamtray/protocol';
import {request, type Dispatcher} from 'undici';

const okStatus = 200;
const redirectStatus = 300;

/**
 * Creates the `fetch` that tRPC's links take, over the dispatcher of the moment.
 * `request` takes less processor time than `fetch`, whose streams such short answers don't need.
 */
export function createLinkFetch(dispatcher: () => Dispatcher) {
	return createLinkFetchOver(async (url, req) => {
		const {body, statusCode} = await request(url, {
			...req,
			dispatcher: dispatcher(),
		});
		return {
			ok: statusCode >= okStatus && statusCode < redirectStatus,
			json: async () => body.json(),
		};
	});
}
