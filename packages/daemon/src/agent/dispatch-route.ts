import type {IncomingHttpHeaders} from 'node:http';
import {
	callHeader,
	dispatchHeader,
	parseDispatch,
	parseDispatchCall,
} from '@balsamtray/protocol';
import type {FastifyInstance} from 'fastify';
import {dispatchBodyLimitBytes} from './constants.js';
import {DispatchExchange} from './dispatch-exchange.js';

const badRequestStatus = 400;

/** Registers `POST /dispatch` and passes each well-formed dispatch to the handler. */
export async function registerDispatchRoute(
	app: FastifyInstance,
	onDispatch: (exchange: DispatchExchange) => void,
): Promise<void> {
	// Reads bodies of every content type as bytes, on this route only.
	await app.register(async scope => {
		scope.removeAllContentTypeParsers();
		scope.addContentTypeParser(
			'*',
			{parseAs: 'buffer', bodyLimit: dispatchBodyLimitBytes},
			(_req, body, done) => {
				done(null, body);
			},
		);
		scope.post('/dispatch', async (req, res) => {
			const parsed = parseHeaders(req.headers);
			if (!parsed) {
				return res
					.code(badRequestStatus)
					.send({code: 'invalid_request', notRun: true});
			}

			res.hijack();
			const body = req.body instanceof Uint8Array ? req.body : emptyBody;
			const {dispatch, call} = parsed;
			onDispatch(DispatchExchange.create(dispatch, call, body, res.raw));
			return res;
		});
	});
}

const emptyBody = new Uint8Array();

function parseHeaders(headers: IncomingHttpHeaders) {
	const dispatch = parseDispatch(headers[dispatchHeader]);
	const call = parseDispatchCall(headers[callHeader]);
	return dispatch && call ? {dispatch, call} : undefined;
}
