import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {RecordedOutcome, Refusal} from '@balsamtray/core';
import {
	callerStallTimeoutMs,
	errorEventFlushTimeoutMs,
	errorEventLingerMs,
} from './constants.js';
import {errorResponse, errorBody, requestIdHeader} from './error-body.js';

/** The HTTP response to one caller. It sends one complete answer, one refusal, or an answer that the caller can recognize as incomplete. */
export class CallerResponse {
	static create(res: ServerResponse, requestId: string): CallerResponse {
		return new CallerResponse(res, requestId);
	}

	private _contentType = '';

	private constructor(
		private readonly _res: ServerResponse,
		private readonly _requestId: string,
	) {}

	/** Whether the response headers have been sent. */
	get hasStarted(): boolean {
		return this._res.headersSent;
	}

	/** Whether data can still be sent to the caller. */
	get isOpen(): boolean {
		return !this._res.destroyed && !this._res.writableEnded;
	}

	/** Calls the listener once if the connection closes before the answer was sent completely. */
	onDisconnect(listener: () => void): void {
		this._res.once('close', () => {
			if (!this._res.writableFinished) {
				listener();
			}
		});
	}

	/** Calls the listener once when the response is closed, complete or not. */
	onClosed(listener: () => void): void {
		this._res.once('close', listener);
	}

	refuse(refusal: Refusal): void {
		const {status, headers, body} = errorResponse(refusal, this._requestId);
		this.sendComplete(
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
		this.sendComplete(status, contentType, Buffer.from(body, 'base64'), {
			'idempotent-replayed': 'true',
		});
	}

	sendComplete(
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

	/** Sends the headers of an answer of unknown length. Does nothing if headers were already sent. */
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

	/** Writes a chunk of a stream and waits until the socket accepts more. Closes the connection of a caller that stalls for `callerStallTimeoutMs`. */
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
			}, callerStallTimeoutMs);
			this._res.once('drain', settle);
			this._res.once('close', settle);
		});
	}

	endStream(): void {
		if (this.isOpen) {
			this._res.end();
		}
	}

	/** Closes the connection without completing the answer. */
	abort(): void {
		this._res.destroy();
	}

	/** Ends an incomplete answer. Before the headers are sent, sends the refusal. Afterwards closes the connection; an SSE stream gets an error event first. */
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
		const timer = setTimeout(destroy, errorEventFlushTimeoutMs);
		this._res.once('close', () => {
			clearTimeout(timer);
		});
		// Many clients discard unread data when the connection closes, so they get time to read the event.
		this._res.write(`\n\nevent: error\ndata: ${body}\n\n`, () => {
			setTimeout(destroy, errorEventLingerMs);
		});
	}
}
