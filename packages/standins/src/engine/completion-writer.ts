import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {FaultInjector} from '../common/fault-injector.js';
import type {EngineFaults} from '../common/fault-schemas.js';
import {
	doneEvent,
	tokenEvent,
	usageEvent,
	completionBody,
} from './completion-format.js';
import type {CompletionRequest} from './completion-request.js';
import type {CompletionIdentity} from './completion-text.js';
import type {CompletionSink} from './engine.js';

const defaultCutAfterTokens = 2;

/** Writes one completion to its connection, as an event stream or as a single JSON body. */
export class CompletionWriter implements CompletionSink {
	static create(
		request: CompletionRequest,
		res: ServerResponse,
		faults: FaultInjector<EngineFaults>,
	): CompletionWriter {
		return new CompletionWriter(request, res, faults);
	}

	private readonly _request: CompletionRequest;
	private readonly _res: ServerResponse;
	private readonly _cutAfterTokens: number;

	private constructor(
		request: CompletionRequest,
		res: ServerResponse,
		faults: FaultInjector<EngineFaults>,
	) {
		this._request = request;
		this._res = res;
		const {cutAfterTokens = defaultCutAfterTokens} = faults.switches;
		this._cutAfterTokens = faults.consume('cutAnswers')
			? cutAfterTokens
			: Infinity;
	}

	onToken(token: number, identity: CompletionIdentity): void {
		if (this._cutAfterTokens === 0) {
			this._res.destroy();
			return;
		}

		if (this._request.isStreamed) {
			if (!this._res.headersSent) {
				this._res.writeHead(200, {'content-type': 'text/event-stream'});
			}

			this._res.write(tokenEvent(this._request, identity, token));
		}

		if (token >= this._cutAfterTokens) {
			this._truncate(identity);
		}
	}

	onCompleted(identity: CompletionIdentity): void {
		if (this._res.destroyed) {
			return;
		}

		if (this._request.isStreamed) {
			if (this._request.includesUsage) {
				this._res.write(usageEvent(this._request, identity));
			}

			this._res.end(doneEvent);
			return;
		}

		const body = completionBody(this._request, identity);
		this._res.writeHead(200, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(body),
		});
		this._res.end(body);
	}

	onFailed(): void {
		if (this._res.headersSent) {
			this._res.destroy();
			return;
		}

		this._res.writeHead(500, {'content-type': 'application/json'});
		this._res.end('{"error":{"message":"the request was aborted"}}');
	}

	/**
	 * Closes the connection in the middle of the response, after the bytes already written are sent. A non-streamed
	 * response is sent up to half of its body.
	 */
	private _truncate(identity: CompletionIdentity): void {
		if (this._request.isStreamed) {
			setImmediate(() => {
				this._res.destroy();
			});
			return;
		}

		const body = completionBody(this._request, identity);
		this._res.writeHead(200, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(body),
		});
		this._res.write(body.slice(0, body.length / 2), () => {
			this._res.destroy();
		});
	}
}
