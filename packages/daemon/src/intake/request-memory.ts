import {requestBytes} from '@balsamtray/core';
import type {CallerMemory, MemoryKeeper} from './caller-memory.js';

/** Counts the memory of one request by what takes it. The request may have to yield in each of these calls. */
export class RequestMemory {
	static create(memory: CallerMemory, keeper: MemoryKeeper): RequestMemory {
		return new RequestMemory(memory, keeper);
	}

	private _headBytes = 0;
	private _bodyBytes = 0;
	private _unreadBytes = 0;
	private _isReleased = false;

	private constructor(
		private readonly _memory: CallerMemory,
		private readonly _keeper: MemoryKeeper,
	) {}

	/** @param bytes size of the headers' objects */
	noteHead(bytes: number): void {
		this._headBytes = requestBytes + bytes;
		this._update();
	}

	/** @param bytes size of what is read of the body and still needed */
	noteBody(bytes: number): void {
		this._bodyBytes = bytes;
		this._update();
	}

	/** @param bytes size of what the caller has not read of the response */
	noteUnread(bytes: number): void {
		this._unreadBytes = bytes;
		this._update();
	}

	/** Nothing is kept any more. */
	release(): void {
		this._isReleased = true;
		this._memory.set(this._keeper, 0);
	}

	private _update(): void {
		if (!this._isReleased) {
			const bytes = this._headBytes + this._bodyBytes + this._unreadBytes;
			this._memory.set(this._keeper, bytes);
		}
	}
}
