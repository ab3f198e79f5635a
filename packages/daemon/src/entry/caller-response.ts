import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {RecordedOutcome, Refusal} from '@balsamtray/core';
import {callerStallMs, cutFlushMs, cutLingerMs} from './constants.js';
import {errorAnswer, errorBody, requestIdHeader} from './error-body.js';

/** The caller's side of one request. It sends one whole answer, one refusal, or an answer that is seen to be cut. */
export class CallerResponse {
	static create(res: ServerResponse, requestId: string): CallerResponse {
		return new CallerResponse(res, requestId);
	}

	private _contentType = '';

	private constructor(
		private readonly _res: ServerResponse,
		private readonly _requestId: string,
	) {}

	/** Whether a byte of an answer went out. */
	get hasStarted(): boolean {
		return this._res.headersSent;
	}

	/** Whether the caller can still get something. */
	get isOpen(): boolean {
		return !this._res.destroyed && !this._res.writableEnded;
	}

	/** Calls the listener once if the caller hangs up before its answer has ended. */
	onGone(listener: () => void): void {
		this._res.once('close', () => {
			if (!this._res.writableFinished) {
				listener();
			}
		});
	}

	/** Calls the listener once when the connection has no more to do with this request. */
	onClosed(listener: () => void): void {
		this._res.once('close', listener);
	}

	refuse(refusal: Refusal): void {
		const {status, headers, body} = errorAnswer(refusal, this._requestId);
		this.sendWhole(
			status,
			'application/json; charset=utf-8',
			Buffer.from(JSON.stringify(body)),
			headers,
		);
	}

	replay(outcome: RecordedOutcome): void {
		if (outcome.kind === 'refused') {
			this.refuse(outcome.refusal);
			return;
		}

		const {status, contentType, body} = outcome;
		this.sendWhole(status, contentType, Buffer.from(body, 'base64'), {
			'idempotent-replayed': 'true',
		});
	}

	sendWhole(
		status: number,
		contentType: string,
		body: Uint8Array,
		headers: Readonly<Record<string, string>> = {},
	): void {
		if (!this.isOpen || this.hasStarted) {
			return;
		}

		this._res.writeHead(status, {
			[requestIdHeader]: this._requestId,
			'content-type': contentType,
			'content-length': body.byteLength,
			...headers,
		});
		this._res.end(body);
	}

	/** Starts an answer whose length is not known yet. */
	startStream(status: number, contentType: string): void {
		if (!this.isOpen || this.hasStarted) {
			return;
		}

		this._contentType = contentType;
		this._res.writeHead(status, {
			[requestIdHeader]: this._requestId,
			'content-type': contentType,
			'cache-control': 'no-store',
		});
	}

	/** Writes a part of a stream and waits until the caller takes more. A caller that stalls is hung up on. */
	async write(chunk: Uint8Array): Promise<void> {
		if (!this.isOpen || this._res.write(chunk)) {
			return;
		}

		await new Promise<void>(resolve => {
			const settle = () => {
				clearTimeout(timer);
				this._res.off('drain', settle);
				this._res.off('close', settle);
				resolve();
			};

			const timer = setTimeout(() => {
				this._res.destroy();
			}, callerStallMs);
			this._res.once('drain', settle);
			this._res.once('close', settle);
		});
	}

	endStream(): void {
		if (this.isOpen) {
			this._res.end();
		}
	}

	/** Breaks the connection. */
	abort(): void {
		this._res.destroy();
	}

	/** Ends a stream so that the caller sees that it is not whole: an error event where it is SSE, then a closed connection. */
	cut(refusal: Refusal): void {
		if (!this.isOpen) {
			return;
		}

		if (!this.hasStarted) {
			this.refuse(refusal);
			return;
		}

		const destroy = () => {
			this._res.destroy();
		};

		if (!this._contentType.startsWith('text/event-stream')) {
			destroy();
			return;
		}

		const body = JSON.stringify(errorBody(refusal, this._requestId));
		const timer = setTimeout(destroy, cutFlushMs);
		this._res.once('close', () => {
			clearTimeout(timer);
		});
		// Many clients drop what they have not read yet when the connection breaks.
		this._res.write(`\n\nevent: error\ndata: ${body}\n\n`, () => {
			setTimeout(destroy, cutLingerMs);
		});
	}
}
