import type {ServerResponse} from 'node:http';
import type {
	ConfigChange,
	Dispatch,
	Refusal,
	ServerStatus,
	Usage,
} from '@balsamtray/core';
import {
	encodeHeader,
	endTrailer,
	replyHeader,
	type DispatchCall,
	type DispatchEnd,
	type DispatchReply,
} from '@balsamtray/protocol';
import {replyHeaderLimitBytes} from './constants.js';

const replyStatus = 200;

/** One dispatch and the connection that returns its response to the entry. */
export class DispatchExchange {
	static create(
		dispatch: Dispatch,
		call: DispatchCall,
		body: Uint8Array,
		res: ServerResponse,
	): DispatchExchange {
		return new DispatchExchange(dispatch, call, body, res);
	}

	private _hasBegun = false;
	private _hasEnded = false;

	private constructor(
		readonly dispatch: Dispatch,
		readonly call: DispatchCall,
		readonly body: Uint8Array,
		private readonly _res: ServerResponse,
	) {}

	/** Calls the listener if the entry closes the connection before the exchange has ended. */
	onAbandoned(listener: () => void): void {
		const notifyAbandoned = () => {
			if (!this._hasEnded) {
				this._hasEnded = true;
				listener();
			}
		};

		if (this._res.destroyed) {
			setImmediate(notifyAbandoned);
		} else {
			this._res.once('close', notifyAbandoned);
		}
	}

	/** Sends a refusal, or closes the connection if the response has already started. */
	refuse(
		refusal: Refusal,
		server: ServerStatus,
		changes: readonly ConfigChange[],
	): void {
		if (this._hasEnded) {
			return;
		}

		this._hasEnded = true;
		if (this._hasBegun) {
			this._res.destroy();
			return;
		}

		const {attemptId} = this.dispatch;
		const reply = {kind: 'refused', attemptId, refusal, server} as const;
		this._res.writeHead(replyStatus, {
			[replyHeader]: encodeReply({...reply, changes}, {...reply, changes: []}),
		});
		this._res.end();
	}

	/** Sends the response headers. */
	begin(status: number, contentType: string, server: ServerStatus): void {
		if (this._hasEnded) {
			return;
		}

		this._hasBegun = true;
		const {attemptId} = this.dispatch;
		const reply: DispatchReply = {
			kind: 'answer',
			attemptId,
			status,
			contentType,
			server,
		};
		this._res.writeHead(replyStatus, {
			'content-type': 'application/octet-stream',
			trailer: endTrailer,
			[replyHeader]: encodeHeader(reply),
		});
		this._res.flushHeaders();
	}

	/** Resolves once the connection can take more data, or is closed. */
	async write(chunk: Uint8Array): Promise<void> {
		const res = this._res;
		if (this._hasEnded || res.destroyed || res.write(chunk)) {
			return;
		}

		await new Promise<void>(resolve => {
			const settle = () => {
				res.off('drain', settle);
				res.off('close', settle);
				resolve();
			};

			res.once('drain', settle);
			res.once('close', settle);
		});
	}

	/** Ends a complete response with a trailer that holds the usage. */
	end(usage: Usage): void {
		if (this._hasEnded) {
			return;
		}

		this._hasEnded = true;
		const end: DispatchEnd = {attemptId: this.dispatch.attemptId, usage};
		this._res.addTrailers({[endTrailer]: encodeHeader(end)});
		this._res.end();
	}

	/** Closes the connection at once, without a trailer. */
	abort(): void {
		this._hasEnded = true;
		this._res.destroy();
	}
}

/** Encodes the reply, or the fallback without changes if the reply is too long for a header. The entry then pulls the changes. */
function encodeReply(reply: DispatchReply, fallback: DispatchReply): string {
	const text = encodeHeader(reply);
	return text.length > replyHeaderLimitBytes ? encodeHeader(fallback) : text;
}
