import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {FaultGate} from '../common/fault-injector.js';
import type {EngineFaults} from '../common/fault-schemas.js';
import {
	doneEvent,
	tokenEvent,
	usageEvent,
	wholeAnswer,
} from './completion-format.js';
import type {CompletionRequest} from './completion-request.js';
import type {AnswerIdentity} from './completion-text.js';
import type {AnswerSink} from './engine.js';

const defaultCutAfterTokens = 2;

/** Writes one completion to its connection, streamed or whole. */
export class AnswerWriter implements AnswerSink {
	static create(
		request: CompletionRequest,
		res: ServerResponse,
		faults: FaultGate<EngineFaults>,
	): AnswerWriter {
		return new AnswerWriter(request, res, faults);
	}

	private readonly _request: CompletionRequest;
	private readonly _res: ServerResponse;
	private readonly _cutAfterTokens: number;

	private constructor(
		request: CompletionRequest,
		res: ServerResponse,
		faults: FaultGate<EngineFaults>,
	) {
		this._request = request;
		this._res = res;
		const {cutAfterTokens = defaultCutAfterTokens} = faults.switches;
		this._cutAfterTokens = faults.take('cutAnswers')
			? cutAfterTokens
			: Infinity;
	}

	onToken(token: number, identity: AnswerIdentity): void {
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
			this._cut(identity);
		}
	}

	onCompleted(identity: AnswerIdentity): void {
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

		const body = wholeAnswer(this._request, identity);
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

	/** Sends half of a whole answer, then breaks the connection after the bytes went out. */
	private _cut(identity: AnswerIdentity): void {
		if (this._request.isStreamed) {
			setImmediate(() => {
				this._res.destroy();
			});
			return;
		}

		const body = wholeAnswer(this._request, identity);
		this._res.writeHead(200, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(body),
		});
		this._res.write(body.slice(0, body.length / 2), () => {
			this._res.destroy();
		});
	}
}
