import {Buffer} from 'node:buffer';
import {blockBytes, minOwnChunkBytes} from './constants.js';

/** Collects the chunks of a body. A byte costs about a byte, whatever the size of the chunks. */
export class BodyBuffer {
	static create(): BodyBuffer {
		return new BodyBuffer();
	}

	private _parts: Uint8Array[] = [];
	/** The block that short chunks are copied into; undefined without one. */
	private _block: Uint8Array | undefined;
	private _blockUsed = 0;
	private _bytes = 0;
	private _keptBytes = 0;

	private constructor() {}

	/** Length of the body so far, in bytes. */
	get bytes(): number {
		return this._bytes;
	}

	/** Memory that is kept for it, in bytes. */
	get keptBytes(): number {
		return this._keptBytes;
	}

	append(chunk: Uint8Array): void {
		const isOnly = this._bytes === 0;
		this._bytes += chunk.length;
		if (isOnly || chunk.length >= minOwnChunkBytes) {
			this._closeBlock();
			this._parts.push(chunk);
			this._keptBytes += chunk.length;
		} else {
			this._copy(chunk);
		}
	}

	/** Returns the whole body and drops the parts. */
	take(): Uint8Array {
		this._closeBlock();
		const [first] = this._parts;
		const body =
			this._parts.length === 1 && first !== undefined
				? first
				: Buffer.concat(this._parts, this._bytes);
		this.clear();
		return body;
	}

	clear(): void {
		this._parts = [];
		this._block = undefined;
		this._blockUsed = 0;
		this._bytes = 0;
		this._keptBytes = 0;
	}

	private _copy(chunk: Uint8Array): void {
		let from = 0;
		while (from < chunk.length) {
			this._block ??= this._openBlock();
			const {_block: block} = this;
			const bytes = Math.min(
				chunk.length - from,
				block.length - this._blockUsed,
			);
			block.set(chunk.subarray(from, from + bytes), this._blockUsed);
			from += bytes;
			this._blockUsed += bytes;
			if (this._blockUsed === block.length) {
				this._closeBlock();
			}
		}
	}

	private _openBlock(): Uint8Array {
		const {min, max} = blockBytes;
		const bytes = Math.min(max, Math.max(min, this._bytes));
		this._keptBytes += bytes;
		return Buffer.allocUnsafeSlow(bytes);
	}

	private _closeBlock(): void {
		if (this._block !== undefined) {
			this._parts.push(this._block.subarray(0, this._blockUsed));
			this._block = undefined;
			this._blockUsed = 0;
		}
	}
}
